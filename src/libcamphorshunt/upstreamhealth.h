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
 * How far each upstream of one service can be used: outlier ejection with a floor on how much may
 * be ejected, recovery by trial requests, and a limit that follows the load report.
 */
class UpstreamHealth {
public:
    auto setDocument(const Document& document) -> void;
    /** Upstreams that the VM list marks as leaving, by name. */
    auto setLeaving(std::span<const std::string> names) -> void;
    auto recordAttemptEnd(Time now, UpstreamId upstream, AttemptResult result, bool leaving) -> void;
    auto recordLoad(Time now, const LoadReported& load) -> void;
    auto recordLoadFailure(Time now, UpstreamId upstream) -> void;
    /** What may be used now of a shard's upstreams, in the order of the document. */
    auto capacities(Time now, std::uint32_t shard) -> std::vector<UpstreamCapacity>;
    /** False when no new work may go to it: leaving, whoever said so. */
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
        /** Slots that may be in use; moves between 1 and the document's slots with the load report. */
        double limit {};
        std::optional<Time> reducedAt;
        /** Weighted failures since the last success. */
        double consecutiveFailures {};
        std::uint32_t loadFailures {};
        /** Attempts and weighted failures of the recent past, halved as time goes by. */
        double recentAttempts {};
        double recentFailures {};
        Time decayedAt;
        std::optional<Time> ejectedUntil;
        std::uint32_t ejections {};
        /** Back from an ejection without a success so far. */
        bool onTrial {};

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

/** Retries allowed as a fraction of requests, with a small floor so that a quiet service can retry. */
class RetryBudget {
public:
    auto setFraction(double fraction) -> void { fraction_ = fraction; }
    auto recordRequest(Time now) -> void;
    /** Takes one retry out of the budget, or says that there is none. */
    auto tryAcquire(Time now) -> bool;

private:
    auto refill(Time now) -> void;

    double fraction_ = 0.1;
    double tokens_ = 3.0;
    std::optional<Time> refilledAt_;
};

} // namespace camphorshunt
