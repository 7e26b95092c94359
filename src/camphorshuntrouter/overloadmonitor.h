#pragma once

#include <cstdint>
#include <random>

#include "camphorshunt/time.h"

#include "failurerate.h"

namespace camphorshunt::router {

/**
 * Decides whether a router has more work than processor time, from the delay of a thread's ticks, or than its
 * network link carries, from its connections to upstreams, and whether new callers are better served by other
 * routers. Used on that thread only.
 */
class OverloadMonitor {
public:
    explicit OverloadMonitor(std::uint64_t seed)
        : random_(seed)
    {
    }

    /** `late`: delay of this tick. */
    auto tick(Time now, Duration late) -> void;
    /** An upstream answered, or a connection to one was not established in time. */
    auto recordReach(Time now, bool reached) -> void { reach_.record(now, reached); }
    /** Several ticks in a row were late, or most connections to upstreams failed meanwhile. */
    auto isOverloaded() const -> bool;
    /**
     * True during an overload and for some seconds after it, so that the readiness checks notice it. If the
     * overload comes back with the callers, each time lasts twice as long, up to a limit.
     */
    auto divertsCallers(Time now) const -> bool { return now < divertUntil_; }

private:
    std::mt19937_64 random_;
    FailureRate reach_;
    int lateTicks_ = 0;
    Duration diversion_ {};
    Time divertUntil_ {};
};

} // namespace camphorshunt::router
