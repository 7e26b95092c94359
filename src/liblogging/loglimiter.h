#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace camphorshunt {

/** Holds every event's lines to a number a second, and counts those left out. */
class LogLimiter {
public:
    using Time = std::chrono::steady_clock::time_point;

    static constexpr auto linesPerSecond = std::uint64_t { 10 };

    struct Verdict {
        bool write = false;
        /** Lines of this event that were left out in the second before; told once. */
        std::uint64_t leftOut {};
    };

    auto take(Time now, std::string_view event, std::uint64_t mostLines = linesPerSecond) -> Verdict;

private:
    struct Window {
        Time begin;
        std::uint64_t lines {};
    };

    std::map<std::string, Window, std::less<>> windows_;
};

} // namespace camphorshunt
