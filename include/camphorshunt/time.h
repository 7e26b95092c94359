#pragma once

#include <chrono>

namespace camphorshunt {

using Duration = std::chrono::microseconds;

/** Monotonic time as the core sees it; only differences have a meaning. */
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using namespace std::chrono_literals;

/** The part of a microsecond is cut off. */
constexpr auto fromMilliseconds(double milliseconds) -> Duration
{
    return Duration(static_cast<Duration::rep>(milliseconds * 1000.0));
}

constexpr auto scaled(Duration time, double factor) -> Duration
{
    return Duration(static_cast<Duration::rep>(double(time.count()) * factor));
}

} // namespace camphorshunt
