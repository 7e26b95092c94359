#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace camphorshunt {

/**
 * Limits the log lines of each event per second and counts the suppressed ones. A second starts with
 * the first line after the previous one ended. Not thread-safe.
 */
class LogLimiter {
public:
    using Time = std::chrono::steady_clock::time_point;

    static constexpr auto maxLinesPerSecond = std::uint64_t { 10 };

    struct Decision {
        bool write = false;
        /** Lines of this event suppressed in the previous second; reported once. */
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
