#pragma once

#include <chrono>

namespace camphorshunt {

using Duration = std::chrono::microseconds;

/** Monotonic time as passed to the core; only differences are meaningful. */
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using namespace std::chrono_literals;

/** Truncates to whole microseconds. */
constexpr auto fromMilliseconds(double milliseconds) -> Duration
{
    return Duration(static_cast<Duration::rep>(milliseconds * 1000.0));
}

constexpr auto scaled(Duration time, double factor) -> Duration
{
    return Duration(static_cast<Duration::rep>(double(time.count()) * factor));
}

} // namespace camphorshunt
