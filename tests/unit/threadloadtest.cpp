#include "threadload.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

TEST_CASE("A thread's load is reported once a second, with the longest delay of its ticks")
{
    auto load = ThreadLoad {};
    const auto start = Time { 100s };
    REQUIRE(load.tick(start, start));
    CHECK(!load.tick(start + 400ms, start + 50ms));
    CHECK(load.late() == 350ms);
    CHECK(!load.tick(start + 800ms, start + 780ms));
    CHECK(load.late() == 20ms);
    const auto report = load.tick(start + 1000ms, start + 1000ms);
    REQUIRE(report);
    CHECK(report->late == 350ms);
    const auto next = load.tick(start + 2000ms, start + 2000ms);
    REQUIRE(next);
    CHECK(next->late == 0ms);
}

TEST_CASE("The processor time since a tick tells a busy thread from a paused one")
{
    auto load = ThreadLoad {};
    static_cast<void>(load.tick(Time { 100s }, Time { 100s }));
    // Ends only if processor time is counted.
    while (load.processorSinceTick() < 5ms) { }
    static_cast<void>(load.tick(Time { 101s }, Time { 101s }));
    CHECK(load.processorSinceTick() < 5ms);
}
