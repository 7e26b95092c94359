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

    static constexpr auto maxLinesPerSecond = std::uint64_t { 10 };

    struct Decision {
        bool write = false;
        /** Lines of this event that were left out in the second before; told once. */
        std::uint64_t suppressedLines {};
    };

    auto admit(Time now, std::string_view event, std::uint64_t maxLines = maxLinesPerSecond) -> Decision;

private:
    struct Window {
        Time begin;
        std::uint64_t lines {};
    };

    std::map<std::string, Window, std::less<>> windows_;
};

} // namespace camphorshunt
