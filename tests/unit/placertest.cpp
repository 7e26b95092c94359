#include "placerfixture.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;

TEST_CASE("An engine gets no request while it holds more unread prompt than the limit")
{
    auto fixture = PlacerFixture(1);
    const auto first = fixture.submit(fixture.request("a", 10000));
    CHECK(fixture.placed.contains(first));
    const auto second = fixture.submit(fixture.request("a", 1000));
    CHECK(!fixture.placed.contains(second));
    CHECK(fixture.placer.waiting() == 1);

    fixture.now += 190ms;
    fixture.start(first);
    fixture.placeWaiting();
    CHECK(fixture.placed.contains(second));
}

TEST_CASE("An engine gets no more requests than it has slots, and the next one when one ends")
{
    auto fixture = PlacerFixture(1);
    auto keys = std::vector<PlacementKey> {};
    for (auto index = 0; index < 5; ++index) {
        keys.push_back(fixture.submit(fixture.request("a", 10)));
        if (fixture.placed.contains(keys.back()))
            fixture.start(keys.back());
    }
    CHECK(fixture.placed.size() == 4);
    fixture.end(keys[0]);
    fixture.placeWaiting();
    CHECK(fixture.placed.contains(keys[4]));
}

TEST_CASE("An engine gets no request for which it has no memory")
{
    auto fixture = PlacerFixture(1, 20000);
    const auto first = fixture.submit(fixture.request("a", 12000));
    fixture.start(first);
    const auto second = fixture.submit(fixture.request("a", 12000));
    CHECK(!fixture.placed.contains(second));
    fixture.end(first);
    fixture.placeWaiting();
    CHECK(fixture.placed.contains(second));
}

TEST_CASE("A request goes where its session's part is kept, while that engine is not much busier")
{
    auto fixture = PlacerFixture(3);
    const auto first = fixture.submit(fixture.request("a", 100, 7, 5000));
    fixture.now += 120ms;
    fixture.start(first);
    for (auto round = 0; round < 3; ++round) {
        const auto next = fixture.submit(fixture.request("a", 100, 7, 5000));
        CHECK(fixture.upstreamOf(next) == fixture.upstreamOf(first));
        CHECK(!fixture.placed.at(next).copyFrom);
        fixture.start(next);
    }
}

TEST_CASE("An engine from which news come late gets more prompts ahead, so that it is not idle meanwhile")
{
    for (const auto lag : { 20ms, 120ms }) {
        auto fixture = PlacerFixture(1);
        for (auto round = 0; round < 40; ++round) {
            const auto key = fixture.submit(fixture.request("acme", 500));
            fixture.now += lag + 10ms;
            fixture.start(key);
            fixture.end(key);
        }
        // 60 ms to read.
        fixture.submit(fixture.request("acme", 3000));
        const auto next = fixture.submit(fixture.request("acme", 500));
        CHECK(fixture.placed.contains(next) == (lag > 60ms));
    }
}

TEST_CASE("A request that a free engine can begin is not held for the busy one that keeps its prompt")
{
    auto fixture = PlacerFixture(2);
    const auto first = fixture.submit(fixture.request("acme", 500, 42, 20000));
    fixture.start(first);
    fixture.end(first);
    // The keeper reads for 400 ms; reading the session's part anew takes as long.
    fixture.now += 1s;
    const auto blocker = fixture.submit(fixture.request("acme", 20000, 42, 20000));
    REQUIRE(fixture.upstreamOf(blocker) == fixture.upstreamOf(first));
    auto asked = fixture.request("acme", 500, 42, 20000);
    asked.goal = fixture.now + 5s;
    const auto second = fixture.submit(asked);
    REQUIRE(fixture.placed.contains(second));
    CHECK(fixture.upstreamOf(second) != fixture.upstreamOf(first));
}

TEST_CASE("A request that is placed away from its session's part copies it, once that has been read")
{
    auto fixture = PlacerFixture(2);
    const auto home = fixture.submit(fixture.request("a", 100, 7, 5000));
    const auto early = fixture.submit(fixture.request("a", 100, 7, 5000));
    // Nothing to copy before the first one has read it.
    if (fixture.placed.contains(early))
        CHECK(!fixture.placed.at(early).copyFrom);
    fixture.now += 120ms;
    fixture.start(home);
    fixture.placeWaiting();
    if (fixture.placed.contains(early))
        fixture.start(early);
    for (auto index = 0; index < 3; ++index) {
        const auto other = fixture.submit(fixture.request("a", 10));
        if (fixture.placed.contains(other) && fixture.upstreamOf(other) != fixture.upstreamOf(home))
            fixture.end(other);
    }
    // The home engine is full by now, or another one is at least as good.
    auto copies = 0;
    for (auto index = 0; index < 6; ++index) {
        const auto next = fixture.submit(fixture.request("a", 100, 7, 5000));
        if (!fixture.placed.contains(next))
            continue;
        const auto& verdict = fixture.placed.at(next);
        if (verdict.copyFrom) {
            ++copies;
            CHECK(*verdict.copyFrom != verdict.upstream);
        }
        fixture.start(next);
    }
    CHECK(copies <= 1);
}

TEST_CASE(
    "A request beyond its organisation's share is refused at once, with a time after which there is room")
{
    auto fixture = PlacerFixture(1);
    auto placedKeys = std::vector<PlacementKey> {};
    auto refusedAtOnce = 0;
    for (auto step = 0; step < 60; ++step) {
        fixture.now += 20ms;
        const auto key = fixture.submit(fixture.request("a", 5000));
        refusedAtOnce += fixture.refused.contains(key) ? 1 : 0;
        if (step % 5 == 4) {
            for (const auto& [running, said] : fixture.placed) {
                fixture.start(running);
                fixture.end(running);
            }
            fixture.placeWaiting();
        }
    }
    CHECK(!fixture.refused.empty());
    CHECK(refusedAtOnce == static_cast<int>(fixture.refused.size()));
    for (const auto& [key, said] : fixture.refused) {
        CHECK(said.retryAfter >= 100ms);
        CHECK(said.retryAfter <= 5s);
    }
}

TEST_CASE("A request with a near goal is not refused for what waits behind it")
{
    auto fixture = PlacerFixture(1);
    fixture.submit(fixture.request("a", 5000));
    for (auto index = 0; index < 8; ++index)
        fixture.submit(fixture.request("a", 5000));
    auto urgent = fixture.request("a", 300);
    urgent.goal = fixture.now + 300ms;
    const auto key = fixture.submit(urgent);
    CHECK(!fixture.refused.contains(key));
    // The first prompt is read in 100 ms.
    fixture.now += 100ms - Placer::Settings {}.backlogLimit;
    fixture.placeWaiting();
    CHECK(fixture.placed.contains(key));
}

TEST_CASE("A request that can't be on time any more is refused, not held until its deadline")
{
    auto fixture = PlacerFixture(1);
    fixture.submit(fixture.request("a", 100000));
    const auto waiting = fixture.submit(fixture.request("b", 100));
    CHECK(!fixture.placed.contains(waiting));
    fixture.now += 1410ms;
    fixture.placeWaiting();
    REQUIRE(fixture.refused.contains(waiting));
    CHECK(fixture.refused.at(waiting).reason == RefusalReason::Waited);
}

TEST_CASE(
    "A request that will be late is placed after those that can be on time, and still gets room that is left")
{
    auto fixture = PlacerFixture(1);
    const auto busy = fixture.submit(fixture.request("a", 30000));
    const auto late = fixture.submit(fixture.request("b", 5000));
    fixture.now += 750ms;
    const auto inTime = fixture.submit(fixture.request("c", 5000));
    CHECK(!fixture.placed.contains(late));
    fixture.start(busy);
    fixture.end(busy);
    fixture.placeWaiting();
    CHECK(fixture.placed.contains(inTime));
    CHECK(!fixture.placed.contains(late));
    fixture.start(inTime);
    fixture.placeWaiting();
    CHECK(fixture.placed.contains(late));
}

TEST_CASE("With no engine that could hold it a request is refused at once")
{
    auto none = PlacerFixture(0);
    const auto key = none.submit(none.request("a", 10));
    REQUIRE(none.refused.contains(key));
    CHECK(none.refused.at(key).reason == RefusalReason::NoUpstream);

    auto draining = PlacerFixture(1);
    draining.entries[0].draining = true;
    draining.placer.setUpstreams(draining.now, draining.entries);
    CHECK(draining.refused.contains(draining.submit(draining.request("a", 10))));
}

TEST_CASE("An engine that is out of reach, or whose first tokens are long overdue, is left out for a while")
{
    const auto how = GENERATE(PlacementEnd::Unreachable, PlacementEnd::Silent, PlacementEnd::Broken);
    auto fixture = PlacerFixture(2);
    const auto first = fixture.submit(fixture.request("a", 10));
    const auto bad = fixture.upstreamOf(first);
    fixture.end(first, how);
    for (auto index = 0; index < 3; ++index) {
        const auto key = fixture.submit(fixture.request("a", 10));
        CHECK(fixture.upstreamOf(key) != bad);
        fixture.start(key);
        fixture.end(key);
    }

    auto overdue = PlacerFixture(2);
    const auto stuck = overdue.submit(overdue.request("a", 1000));
    overdue.now += 600ms;
    overdue.placeWaiting();
    for (auto index = 0; index < 3; ++index) {
        const auto key = overdue.submit(overdue.request("a", 1000));
        CHECK(overdue.upstreamOf(key) != overdue.upstreamOf(stuck));
        overdue.start(key);
    }
}

TEST_CASE("What a router had running or waiting is forgotten with it")
{
    auto fixture = PlacerFixture(1);
    for (auto index = 0; index < 4; ++index)
        fixture.start(fixture.submit(fixture.request("a", 10)));
    fixture.submit(fixture.request("a", 10));
    CHECK(fixture.placer.waiting() == 1);
    fixture.placer.removeRouter(fixture.now, RouterId { 1 });
    CHECK(fixture.placer.waiting() == 0);
    CHECK(fixture.placer.running() == 0);
    auto other = fixture.request("a", 10);
    other.key.router = RouterId { 2 };
    CHECK(fixture.placed.contains(fixture.submit(other)));
}

TEST_CASE("A placer that takes over counts what runs already")
{
    auto fixture = PlacerFixture(1);
    for (auto index = 0; index < 4; ++index)
        fixture.placer.adoptRequest(fixture.now, { fixture.request("a", 10), fixture.entries[0].id(), true });
    const auto key = fixture.submit(fixture.request("a", 10));
    CHECK(!fixture.placed.contains(key));
}

TEST_CASE("An engine that starts anew under its name has nothing running and keeps nothing")
{
    auto fixture = PlacerFixture(1);
    for (auto index = 0; index < 4; ++index)
        fixture.start(fixture.submit(fixture.request("a", 10, 3, 2000)));
    fixture.entries[0].startedAt = 5ms;
    fixture.placer.setUpstreams(fixture.now, fixture.entries);
    CHECK(fixture.placed.contains(fixture.submit(fixture.request("a", 10))));
    const auto& engine = fixture.placer.engines().begin()->second;
    CHECK(engine.running() == 1);
}

TEST_CASE("The reading rate of a slow engine is learnt from its first tokens")
{
    auto fixture = PlacerFixture(1);
    const auto before = fixture.placer.engines().begin()->second.prefillTokensPerMs();
    for (auto index = 0; index < 60; ++index) {
        const auto key = fixture.submit(fixture.request("a", 5000));
        // Ten tokens a millisecond.
        fixture.now += 500ms;
        fixture.start(key);
        fixture.end(key);
    }
    const auto after = fixture.placer.engines().begin()->second.prefillTokensPerMs();
    CHECK(before > 30);
    CHECK(after < 15);
    CHECK(after > 7);
}
