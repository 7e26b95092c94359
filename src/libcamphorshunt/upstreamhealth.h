#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/document.h"
#include "camphorshunt/event.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

#include "sharddispatcher.h"

namespace camphorshunt {

/**
 * Decides how many slots of each upstream of one service can be used: outlier ejection with a cap on the
 * fraction of upstreams ejected, recovery by trial requests, and a slot limit that follows the load reports.
 */
class UpstreamHealth {
public:
    auto setDocument(const Document& document) -> void;
    /** Upstreams that the VM list marks as leaving, by name. */
    auto setLeaving(std::span<const std::string> names) -> void;
    /** `leaving` means that the upstream announced that it is leaving. */
    auto recordAttemptEnd(Time now, UpstreamId upstream, AttemptResult result, bool leaving) -> void;
    auto recordLoad(Time now, const LoadReported& load) -> void;
    auto recordLoadFailure(Time now, UpstreamId upstream) -> void;
    /** Usable slots of each upstream of a shard, in the order of the document. */
    auto capacities(Time now, std::uint32_t shard) -> std::vector<UpstreamCapacity>;
    /**
     * False if the upstream must get no new work, as it is unknown or leaving: according to the document, to
     * the VM list or to the upstream itself.
     */
    auto accepts(UpstreamId upstream) const -> bool;
    auto isEjected(Time now, UpstreamId upstream) const -> bool;

private:
    struct State {
        std::string name;
        std::uint32_t shard {};
        std::uint32_t documentSlots {};
        bool documentLeaving {};
        bool listedLeaving {};
        bool reportedLeaving {};
        /**
         * Slots that may be in use, from 1 up to the document's slots, adjusted by load reports and
         * refusals.
         */
        double limit {};
        std::optional<Time> reducedAt;
        /** Sum of the weights of failures since the last success. */
        double consecutiveFailures {};
        /** Load reports that failed in a row. */
        std::uint32_t loadFailures {};
        /** Attempts, and failures with a weight of up to 1, both with exponential decay. */
        double recentAttempts {};
        double recentFailures {};
        Time decayedAt;
        std::optional<Time> ejectedUntil;
        std::uint32_t ejections {};
        /** Ejected, and without a success since the ejection ended; limits the upstream to one slot. */
        bool onTrial {};

        /** Applies the decay up to `now`. */
        auto decay(Time now) -> void;
        auto isLeaving() const -> bool { return documentLeaving || listedLeaving || reportedLeaving; }
        auto isEjected(Time now) const -> bool { return ejectedUntil && now < *ejectedUntil; }
    };

    auto find(UpstreamId upstream) -> State*;
    auto recordSuccess(Time now, State& state) -> void;
    auto recordFailure(Time now, UpstreamId upstream, State& state, double weight) -> void;
    auto reduceLimit(Time now, State& state) -> void;
    auto ejectIfAllowed(Time now, UpstreamId upstream, State& state) -> void;

    absl::flat_hash_map<UpstreamId, State> states_;
    std::vector<UpstreamId> order_;
    double ejectFraction_ {};
};

/**
 * Allows retries as a fraction of requests. A small floor refills with time, so that a service with few
 * requests can retry, too.
 */
class RetryBudget {
public:
    auto setFraction(double fraction) -> void { fraction_ = fraction; }
    auto recordRequest(Time now) -> void;
    /** Consumes one retry of the budget; false if none is left. */
    auto tryAcquire(Time now) -> bool;

private:
    auto refill(Time now) -> void;

    double fraction_ = 0.1;
    double tokens_ = 3.0;
    std::optional<Time> refilledAt_;
};

} // namespace camphorshunt
