#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/placement.h"
#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

namespace camphorshunt {

/**
 * Chooses an upstream of a plain service from this router's own observations only: the one with the fewest
 * requests in progress, while upstreams that fail or do not answer are avoided for some time. It reacts to
 * failing upstreams, not to overload: these services shed excess load themselves.
 */
class ServiceBalancer {
public:
    explicit ServiceBalancer(std::uint64_t seed)
        : random_(seed)
    {
    }

    auto setUpstreams(std::span<const UpstreamEntry> entries) -> void;
    /** Returns null if there is no upstream other than those to avoid. */
    auto choose(Time now, std::uint64_t failureDomain, std::span<const UpstreamId> avoid)
        -> const UpstreamEntry*;
    auto requestStarted(UpstreamId upstream) -> void;
    auto requestEnded(Time now, UpstreamId upstream, PlacementEnd end) -> void;

    auto size() const -> std::size_t { return upstreams_.size(); }

private:
    struct Upstream {
        UpstreamEntry entry;
        std::uint64_t failureDomain = 0;
        std::uint32_t running = 0;
        /** Moving average of the failed share of requests, 0 to 1. */
        double failureShare = 0;
        std::uint32_t failuresInRow = 0;
        Time suspendedUntil {};
    };

    auto score(const Upstream& upstream, std::uint64_t failureDomain) -> double;

    absl::flat_hash_map<UpstreamId, Upstream> upstreams_;
    std::mt19937_64 random_;
};

} // namespace camphorshunt
