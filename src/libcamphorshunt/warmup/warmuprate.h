#pragma once

#include <cstddef>

#include "camphorshunt/fleetconfiguration.h"
#include "camphorshunt/time.h"

#include "warmup/admissionwindow.h"

namespace camphorshunt {

/**
 * How many requests an engine may get from one placer while it is cold, which it is for some time after its
 * start and may become at any moment. An engine that became cold a moment ago looks warm, so that a warm one
 * does not get more in a second than a cold one can handle at most. Does nothing for a service that states
 * no rate.
 */
class WarmupRate {
public:
    /** `fraction`: the placer's part of the engine. */
    auto setLimits(const WarmupLimits& limits, double fraction) -> void;
    /** A statement on how much longer the engine stays cold; an older one never makes it warm. */
    auto recordStatement(Time now, Duration remaining) -> void;
    /** A cold engine gets nothing until then, as another placer may have used its rate. */
    auto hold(Time until) -> void { heldUntil_ = until; }
    auto recordAdmission(Time now) -> void;

    auto isCold(Time now) const -> bool { return limits_.requestsPerSecond > 0 && now < coldUntil_; }
    auto mayAdmit(Time now) const -> bool;
    /** Requests admitted in the last second. */
    auto admittedLately(Time now) const -> std::size_t;

private:
    WarmupLimits limits_;
    /** Admissions of a cold engine in a window of this length. */
    std::size_t coldCount_ = 0;
    Duration coldWindow_ {};
    /** Admissions of any engine in a second. */
    std::size_t warmCount_ = 0;
    Time coldUntil_ {};
    Time heldUntil_ {};
    AdmissionWindow window_;
};

} // namespace camphorshunt
