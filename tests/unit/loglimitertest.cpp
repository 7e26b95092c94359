#include "loglimiter.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;

TEST_CASE("An event above the line limit is suppressed and counted, and other events are not")
{
    const auto begin = LogLimiter::Time {} + std::chrono::hours(1);
    auto limiter = LogLimiter {};
    auto written = std::uint64_t {};
    for (auto line = 0; line < 35; ++line)
        written += limiter.admit(begin + std::chrono::milliseconds(line), "refused").write ? 1 : 0;
    CHECK(written == LogLimiter::maxLinesPerSecond);
    CHECK(limiter.admit(begin + std::chrono::milliseconds(40), "ejected").write);

    const auto later = limiter.admit(begin + std::chrono::seconds(1), "refused");
    CHECK(later.write);
    CHECK(later.suppressedLines == 25);
    CHECK(limiter.admit(begin + std::chrono::seconds(3), "refused").suppressedLines == 0);
}
