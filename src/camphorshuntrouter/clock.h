#pragma once

#include "camphorshunt/time.h"

namespace camphorshunt::router {

/** Time of the steady clock, which is not affected by changes of the system's time. */
inline auto steadyNow() -> Time
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/** Whole milliseconds, for logs and headers. */
inline auto inMilliseconds(Duration time) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

} // namespace camphorshunt::router
