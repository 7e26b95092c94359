#pragma once

#include <chrono>

namespace camphorshunt {

using Duration = std::chrono::microseconds;

/** Monotonic time as the core sees it; only differences have a meaning. */
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using namespace std::chrono_literals;

} // namespace camphorshunt
