#include "overloadmonitor.h"

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "sharedstate.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

constexpr auto begin = Time { Duration(100s) };

} // namespace

TEST_CASE("A thread that is late once, as after a pause of its process, is not overloaded")
{
    auto monitor = OverloadMonitor(1);
    monitor.tick(begin, 5s);
    for (auto tick = 1; tick < 100; ++tick)
        monitor.tick(begin + tick * 15ms, 5ms);
    CHECK(!monitor.isOverloaded());
    CHECK(!monitor.divertsCallers(begin + 1500ms));
}

TEST_CASE("An overloaded router diverts new callers until two readiness checks have failed, and not for long")
{
    for (auto seed = std::uint64_t { 1 }; seed <= 50; ++seed) {
        auto monitor = OverloadMonitor(seed);
        auto now = begin;
        for (; now < begin + 1s; now += 100ms)
            monitor.tick(now, 85ms);
        CHECK(monitor.isOverloaded());
        CHECK(monitor.divertsCallers(now));
        monitor.tick(now, 1ms);
        CHECK(!monitor.isOverloaded());
        CHECK(monitor.divertsCallers(now + 2s));
        CHECK(!monitor.divertsCallers(now + 5s));
    }
}

TEST_CASE("A router whose overload returns with its callers diverts them for longer, up to a limit")
{
    auto monitor = OverloadMonitor(1);
    auto now = begin;
    auto lengths = std::vector<Duration> {};
    for (auto episode = 0; episode < 8; ++episode) {
        for (auto tick = 0; tick < 3; ++tick, now += 100ms)
            monitor.tick(now, 85ms);
        const auto since = now;
        while (monitor.divertsCallers(now))
            monitor.tick(now += 15ms, 1ms);
        lengths.push_back(now - since);
        now += 1s;
    }
    CHECK(lengths.front() < 5s);
    CHECK(lengths.at(1) > lengths.front());
    CHECK(lengths.at(2) > lengths.at(1));
    CHECK(std::ranges::max(lengths) < 22s);
    now += 15s;
    for (auto tick = 0; tick < 3; ++tick, now += 100ms)
        monitor.tick(now, 85ms);
    CHECK(!monitor.divertsCallers(now + 5s));
}

// A small VM behind a full network link was not late itself, kept most callers of the fleet and served few.
TEST_CASE(
    "A router that cannot connect to its upstreams diverts callers, unless only some upstreams are lost")
{
    for (const auto answered : { 0, 8 }) {
        auto monitor = OverloadMonitor(1);
        auto now = begin;
        for (; now < begin + 1s; now += 100ms) {
            for (auto attempt = 0; attempt < 10; ++attempt)
                monitor.recordReach(now, attempt < answered);
            monitor.tick(now, 1ms);
        }
        CHECK(monitor.isOverloaded() == (answered == 0));
        CHECK(monitor.divertsCallers(now) == (answered == 0));
    }
}

TEST_CASE("A router that diverts callers answers the readiness check as not ready")
{
    auto state = SharedState {};
    CHECK(!state.acceptsCallers());
    state.ready = true;
    CHECK(state.acceptsCallers());
    state.divertsCallers = true;
    CHECK(!state.acceptsCallers());
}
