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
 * Chooses an upstream of a plain service by what this router alone has seen: the fewest requests in
 * progress, with those that fail or do not answer avoided for a while. It answers upstreams that fail, not
 * overload: these services shed what is too much themselves.
 */
class ServiceBalancer {
public:
    explicit ServiceBalancer(std::uint64_t seed)
        : random_(seed)
    {
    }

    auto setUpstreams(std::span<const UpstreamEntry> entries) -> void;
    /** Null if there is none but those to avoid. */
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
        /** Part of the requests of late that failed. */
        double failureShare = 0;
        std::uint32_t failuresInRow = 0;
        Time suspendedUntil {};
    };

    auto score(const Upstream& upstream, std::uint64_t failureDomain) -> double;

    absl::flat_hash_map<UpstreamId, Upstream> upstreams_;
    std::mt19937_64 random_;
};

} // namespace camphorshunt
