#include "schedulerload.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

TEST_CASE("The scheduler's load is reported once a second, with the longest delay and the cost of all passes")
{
    auto load = SchedulerLoad {};
    auto now = Time { 100s };
    REQUIRE(load.tick(now, 0ms));
    load.passDone(3ms);
    load.frameHandled();
    load.frameHandled();
    CHECK(!load.tick(now + 400ms, 350ms));
    load.passDone(4ms);
    CHECK(!load.tick(now + 800ms, 20ms));
    const auto report = load.tick(now + 1000ms, 0ms);
    REQUIRE(report);
    CHECK(report->late == 350ms);
    CHECK(report->placing == 7ms);
    CHECK(report->passes == 2);
    CHECK(report->frames == 2);
    const auto next = load.tick(now + 2000ms, 0ms);
    REQUIRE(next);
    CHECK(next->late == 0ms);
    CHECK(next->passes == 0);
}

TEST_CASE("The processor time since a tick tells a busy scheduler from a paused one")
{
    auto load = SchedulerLoad {};
    static_cast<void>(load.tick(Time { 100s }, 0ms));
    // Ends only if processor time is counted.
    while (load.processorSinceTick() < 5ms) { }
    static_cast<void>(load.tick(Time { 101s }, 0ms));
    CHECK(load.processorSinceTick() < 5ms);
}
