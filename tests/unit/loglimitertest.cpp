#include "loglimiter.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;

TEST_CASE("An event that floods the log is held back and counted, and others are not")
{
    const auto begin = LogLimiter::Time {} + std::chrono::hours(1);
    auto limiter = LogLimiter {};
    auto written = std::uint64_t {};
    for (auto line = 0; line < 35; ++line)
        written += limiter.take(begin + std::chrono::milliseconds(line), "refused").write ? 1 : 0;
    CHECK(written == LogLimiter::linesPerSecond);
    CHECK(limiter.take(begin + std::chrono::milliseconds(40), "ejected").write);

    const auto later = limiter.take(begin + std::chrono::seconds(1), "refused");
    CHECK(later.write);
    CHECK(later.leftOut == 25);
    CHECK(limiter.take(begin + std::chrono::seconds(3), "refused").leftOut == 0);
}
