#pragma once

#include <cstdint>
#include <random>

#include "camphorshunt/time.h"

namespace camphorshunt::router {

/**
 * Decides from the delay of a thread's ticks whether the thread has more work than processor time, and
 * whether new callers are better served by other routers. Used on that thread only.
 */
class OverloadMonitor {
public:
    explicit OverloadMonitor(std::uint64_t seed)
        : random_(seed)
    {
    }

    /** `late`: delay of this tick. */
    auto tick(Time now, Duration late) -> void;
    /** Several ticks in a row were late. */
    auto isOverloaded() const -> bool;
    /**
     * True during an overload and for some seconds after it, so that the readiness checks notice it. If the
     * overload comes back with the callers, each time lasts twice as long, up to a limit.
     */
    auto divertsCallers(Time now) const -> bool { return now < divertUntil_; }

private:
    std::mt19937_64 random_;
    int lateTicks_ = 0;
    Duration diversion_ {};
    Time divertUntil_ {};
};

} // namespace camphorshunt::router
