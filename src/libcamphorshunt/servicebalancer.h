#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/placement.h"
#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

#include "upstreamavailability.h"

namespace camphorshunt {

/**
 * Chooses an upstream of a plain service from this router's own observations only: the one with the fewest
 * requests in progress, while upstreams that fail or do not answer are avoided for some time. It reacts to
 * failing upstreams, not to overload: these services shed excess load themselves.
 */
class ServiceBalancer {
public:
    /** `availability`: of this router; must outlive the balancer. */
    ServiceBalancer(std::uint64_t seed, const UpstreamAvailability& availability)
        : availability_(availability)
        , random_(seed)
    {
    }

    auto setUpstreams(std::span<const UpstreamEntry> entries) -> void;
    /**
     * Returns null if there is no upstream other than those to avoid and those that leave or rest.
     */
    auto choose(Time now, std::uint64_t failureDomain, std::span<const UpstreamId> avoid)
        -> const UpstreamEntry*;
    auto requestStarted(UpstreamId upstream) -> void;
    auto requestEnded(Time now, UpstreamId upstream, PlacementEnd end) -> void;

    /** What callers can expect of the upstreams, those that failed included. */
    struct Outlook {
        /** One may be sent to now. */
        bool usable = false;
        bool leaving = false;
        /** When the first of those that rest may be sent to again. */
        std::optional<Time> restEnds;
    };
    auto outlook(Time now) const -> Outlook;
    auto rests(Time now, UpstreamId upstream) const -> bool;

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

    const UpstreamAvailability& availability_;
    absl::flat_hash_map<UpstreamId, Upstream> upstreams_;
    std::mt19937_64 random_;
};

} // namespace camphorshunt
