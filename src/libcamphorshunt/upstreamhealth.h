#pragma once

#include <cstdint>
#include <string>
#include <vector>

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
    auto noteEnd(Time now, UpstreamId upstream, AttemptResult result, bool leaving) -> void;
    auto noteLoad(Time now, const LoadReported& load) -> void;
    auto noteLoadFailed(Time now, UpstreamId upstream) -> void;
    /** What may be used now of a shard's upstreams. `ownRunning` is what the dispatcher has in use. */
    auto capacities(Time now, std::uint32_t shard) -> std::vector<UpstreamCapacity>;
    /** False when no new work may go to it: leaving, whoever said so. */
    auto accepts(UpstreamId upstream) const -> bool;
    auto isEjected(Time now, UpstreamId upstream) const -> bool;
};

/** Retries allowed as a fraction of requests, with a small floor so that a quiet service can retry. */
class RetryBudget {
public:
    auto setFraction(double fraction) -> void;
    auto noteRequest(Time now) -> void;
    auto tryTake(Time now) -> bool;

private:
    double fraction_ = 0.1;
    double tokens_ = 3.0;
};

} // namespace camphorshunt
