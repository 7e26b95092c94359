#include "attemptclock.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

auto times() -> AttemptTimes
{
    auto made = AttemptTimes {};
    made.sent = Time { 100s };
    made.lastByte = made.sent;
    made.deadline = made.sent + 3s;
    made.goal = 100ms;
    made.connected = true;
    return made;
}

auto dueAt(const AttemptTimes& made, Duration after) -> AttemptClock::Due
{
    return AttemptClock::check(made.sent + after, made).due;
}

} // namespace

TEST_CASE(
    "A request that may not be retried elsewhere waits until its deadline, and at most half a second longer")
{
    const auto made = times();
    CHECK(dueAt(made, 2999ms) == AttemptClock::Due::Nothing);
    CHECK(dueAt(made, 3500ms) == AttemptClock::Due::Deadline);
    const auto check = AttemptClock::check(made.sent + 1ms, made);
    CHECK(check.next >= made.deadline);
    CHECK(check.next <= made.deadline + 500ms);
}

TEST_CASE(
    "A connection that is not established within 300 ms is given up, and a passed deadline takes precedence")
{
    auto made = times();
    made.connected = false;
    CHECK(dueAt(made, 299ms) == AttemptClock::Due::Nothing);
    CHECK(dueAt(made, 301ms) == AttemptClock::Due::Connection);
    made.deadline = made.sent + 50ms;
    CHECK(dueAt(made, 500ms) == AttemptClock::Due::Deadline);
}

TEST_CASE("A request that may be retried elsewhere times out after silence, earlier if its goal is shorter")
{
    auto made = times();
    made.mayRetryElsewhere = true;
    CHECK(dueAt(made, 200ms) == AttemptClock::Due::Nothing);
    CHECK(dueAt(made, 260ms) == AttemptClock::Due::Silence);
    made.goal = 400ms;
    CHECK(dueAt(made, 900ms) == AttemptClock::Due::Nothing);
    CHECK(dueAt(made, 1100ms) == AttemptClock::Due::Silence);
    made.answering = true;
    made.lastByte = made.sent + 500ms;
    CHECK(dueAt(made, 1400ms) == AttemptClock::Due::Nothing);
    CHECK(dueAt(made, 1600ms) == AttemptClock::Due::Silence);
}
