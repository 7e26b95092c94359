#include "placerfixture.h"

#include <catch2/catch.hpp>

#include "failurerate.h"

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

constexpr auto healthy = RouterId { 1 };
constexpr auto congested = RouterId { 2 };

} // namespace

// A router whose network link is congested reaches no engine. Its failures suspended every engine, so that
// hardly any request of the other routers was placed either.
TEST_CASE("A router that can connect to no engine does not take the engines from the other routers")
{
    constexpr auto engineCount = std::size_t { 20 };
    auto fixture = PlacerFixture(engineCount);
    auto placed = 0;
    auto sent = 0;
    for (auto round = 0; round < 100; ++round) {
        auto failing = std::vector<PlacementKey> {};
        for (auto index = 0; index < 10; ++index) {
            const auto key = fixture.submit(fixture.requestOf(congested, 500));
            if (fixture.placed.contains(key))
                failing.push_back(key);
        }
        fixture.now += 10ms;
        for (auto index = 0; index < 4; ++index) {
            const auto key = fixture.submit(fixture.requestOf(healthy, 500));
            ++sent;
            if (!fixture.placed.contains(key))
                continue;
            ++placed;
            fixture.now += 2ms;
            fixture.start(key);
            fixture.end(key);
        }
        fixture.now += 30ms;
        for (const auto& key : failing)
            fixture.end(key, PlacementEnd::Unreachable);
    }
    CHECK(sent == 400);
    CHECK(placed > 360);
}

TEST_CASE("An engine that no router can connect to gets no requests until a probe succeeds")
{
    auto fixture = PlacerFixture(2);
    const auto dead = fixture.entries.front().id();
    auto sentToDead = 0;
    for (auto round = 0; round < 200; ++round) {
        for (const auto router : { healthy, congested }) {
            const auto key = fixture.submit(fixture.requestOf(router, 500));
            REQUIRE(fixture.placed.contains(key));
            fixture.now += 3ms;
            if (fixture.upstreamOf(key) == dead) {
                ++sentToDead;
                fixture.end(key, PlacementEnd::Unreachable);
            } else {
                fixture.start(key);
                fixture.end(key);
            }
        }
    }
    CHECK(sentToDead <= 5);
}

// The prompt of a router with a slow link arrived after those of other routers, and the engine counted as
// stuck.
TEST_CASE("An engine that starts later requests is not suspended for one that has not arrived")
{
    auto fixture = PlacerFixture(1);
    const auto lost = fixture.submit(fixture.requestOf(congested, 500));
    REQUIRE(fixture.placed.contains(lost));
    auto placed = 0;
    for (auto round = 0; round < 100; ++round) {
        const auto key = fixture.submit(fixture.requestOf(healthy, 500));
        fixture.now += 20ms;
        if (!fixture.placed.contains(key)) {
            fixture.placeWaiting();
            continue;
        }
        ++placed;
        fixture.start(key);
        fixture.end(key);
    }
    CHECK(placed > 90);
}

TEST_CASE("An origin fails if most of its recent attempts do, and counts as well again once they fade")
{
    auto rate = FailureRate {};
    auto now = Time { 100s };
    rate.record(now, false);
    rate.record(now, false);
    CHECK(!rate.isFailing(now));
    rate.record(now, false);
    CHECK(rate.isFailing(now));
    CHECK(!rate.isFailing(now + 2s));
    for (auto count = 0; count < 3; ++count)
        rate.record(now, true);
    CHECK(!rate.isFailing(now));
}
