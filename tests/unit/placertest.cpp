#include "placerfixture.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;

TEST_CASE("An engine gets no request while its pending prefill exceeds the limit")
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

TEST_CASE("An engine gets no more requests than it has slots, and the next one when a request ends")
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

TEST_CASE("An engine gets no request that does not fit its free memory")
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

TEST_CASE(
    "A request is placed on the engine that caches its session's part, unless that engine is much busier")
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

TEST_CASE("An engine whose reports arrive late gets more prompts in advance, so that it does not become idle")
{
    for (const auto lag : { 20ms, 120ms }) {
        auto fixture = PlacerFixture(1);
        for (auto round = 0; round < 40; ++round) {
            const auto key = fixture.submit(fixture.request("acme", 500));
            fixture.now += lag + 10ms;
            fixture.start(key);
            fixture.end(key);
        }
        // Takes 60 ms to prefill.
        fixture.submit(fixture.request("acme", 3000));
        const auto next = fixture.submit(fixture.request("acme", 500));
        CHECK(fixture.placed.contains(next) == (lag > 60ms));
    }
}

TEST_CASE("A request that a free engine can start is not held for the busy engine that caches its prompt")
{
    auto fixture = PlacerFixture(2);
    const auto first = fixture.submit(fixture.request("acme", 500, 42, 20000));
    fixture.start(first);
    fixture.end(first);
    // The caching engine prefills for 400 ms; prefilling the session's part elsewhere takes as long.
    fixture.now += 1s;
    const auto blocker = fixture.submit(fixture.request("acme", 20000, 42, 20000));
    REQUIRE(fixture.upstreamOf(blocker) == fixture.upstreamOf(first));
    auto request = fixture.request("acme", 500, 42, 20000);
    request.goal = fixture.now + 5s;
    const auto second = fixture.submit(request);
    REQUIRE(fixture.placed.contains(second));
    CHECK(fixture.upstreamOf(second) != fixture.upstreamOf(first));
}

TEST_CASE("A request placed on another engine than the one that caches its session's part copies the part "
          "once it has been prefilled")
{
    auto fixture = PlacerFixture(2);
    const auto home = fixture.submit(fixture.request("a", 100, 7, 5000));
    const auto early = fixture.submit(fixture.request("a", 100, 7, 5000));
    // There is nothing to copy until the first engine has prefilled the part.
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
    // Now the first engine is full, or another engine is at least as good.
    auto copies = 0;
    for (auto index = 0; index < 6; ++index) {
        const auto next = fixture.submit(fixture.request("a", 100, 7, 5000));
        if (!fixture.placed.contains(next))
            continue;
        const auto& decision = fixture.placed.at(next);
        if (decision.copyFrom) {
            ++copies;
            CHECK(*decision.copyFrom != decision.upstream);
        }
        fixture.start(next);
    }
    CHECK(copies <= 1);
}

TEST_CASE(
    "A request beyond its organisation's share is refused immediately, with a time after which to retry")
{
    auto fixture = PlacerFixture(1);
    auto placedKeys = std::vector<PlacementKey> {};
    auto refusedImmediately = 0;
    for (auto step = 0; step < 60; ++step) {
        fixture.now += 20ms;
        const auto key = fixture.submit(fixture.request("a", 5000));
        refusedImmediately += fixture.refused.contains(key) ? 1 : 0;
        if (step % 5 == 4) {
            for (const auto& [running, decision] : fixture.placed) {
                fixture.start(running);
                fixture.end(running);
            }
            fixture.placeWaiting();
        }
    }
    CHECK(!fixture.refused.empty());
    CHECK(refusedImmediately == static_cast<int>(fixture.refused.size()));
    for (const auto& [key, decision] : fixture.refused) {
        CHECK(decision.retryAfter >= 100ms);
        CHECK(decision.retryAfter <= 5s);
    }
}

TEST_CASE("A request with an early goal is not refused because of less urgent requests in the queue")
{
    auto fixture = PlacerFixture(1);
    fixture.submit(fixture.request("a", 5000));
    for (auto index = 0; index < 8; ++index)
        fixture.submit(fixture.request("a", 5000));
    auto urgent = fixture.request("a", 300);
    urgent.goal = fixture.now + 300ms;
    const auto key = fixture.submit(urgent);
    CHECK(!fixture.refused.contains(key));
    // The first prompt is prefilled in 100 ms.
    fixture.now += 100ms - Placer::Settings {}.backlogLimit;
    fixture.placeWaiting();
    CHECK(fixture.placed.contains(key));
}

TEST_CASE("A request that can no longer be on time is refused, not held until its deadline")
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

TEST_CASE("A request that will be late is placed after those that can be on time, if capacity is left")
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

TEST_CASE("A request that no engine can hold is refused immediately")
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

TEST_CASE("An engine that is unreachable, or whose first tokens are long overdue, is suspended temporarily")
{
    const auto result = GENERATE(PlacementEnd::Unreachable, PlacementEnd::Silent, PlacementEnd::Broken);
    auto fixture = PlacerFixture(2);
    const auto first = fixture.submit(fixture.request("a", 10));
    const auto bad = fixture.upstreamOf(first);
    fixture.end(first, result);
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

TEST_CASE("The running and waiting requests of a lost router are removed")
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

TEST_CASE("A placer that takes over counts the requests that are already running")
{
    auto fixture = PlacerFixture(1);
    for (auto index = 0; index < 4; ++index)
        fixture.placer.adoptRequest(fixture.now, { fixture.request("a", 10), fixture.entries[0].id(), true });
    const auto key = fixture.submit(fixture.request("a", 10));
    CHECK(!fixture.placed.contains(key));
}

TEST_CASE("An engine that restarts under the same name has no running requests and an empty cache")
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

TEST_CASE("The prefill rate of a slow engine is learnt from the times of its first tokens")
{
    auto fixture = PlacerFixture(1);
    const auto before = fixture.placer.engines().begin()->second.prefillTokensPerMs();
    for (auto index = 0; index < 60; ++index) {
        const auto key = fixture.submit(fixture.request("a", 5000));
        // 10 tokens per millisecond.
        fixture.now += 500ms;
        fixture.start(key);
        fixture.end(key);
    }
    const auto after = fixture.placer.engines().begin()->second.prefillTokensPerMs();
    CHECK(before > 30);
    CHECK(after < 15);
    CHECK(after > 7);
}

TEST_CASE("Prompt parts are not copied from an engine that has left the directory or has restarted")
{
    auto fixture = PlacerFixture(3);
    const auto first = fixture.submit(fixture.request("a", 100, 7, 5000));
    fixture.now += 120ms;
    fixture.start(first);
    const auto holder = fixture.upstreamOf(first);
    const auto isHolder = [holder](const UpstreamEntry& entry) { return entry.id() == holder; };
    SECTION("it has left") { std::erase_if(fixture.entries, isHolder); }
    SECTION("it has restarted") { std::ranges::find_if(fixture.entries, isHolder)->startedAt += 1ms; }
    fixture.placer.setUpstreams(fixture.now, fixture.entries);
    const auto next = fixture.submit(fixture.request("a", 100, 7, 5000));
    REQUIRE(fixture.placed.contains(next));
    CHECK(!fixture.placed.at(next).copyFrom);
    CHECK(fixture.placed.at(next).inputs.cachedTokens == 0);
}

TEST_CASE("A copy comes from the engine that has prefilled the longest beginning of the prompt")
{
    auto fixture = PlacerFixture(3);
    auto shorter = fixture.request("a", 100, 7, 3000);
    auto longer = fixture.request("a", 100, 7, 3000);
    longer.prompt.parts.insert(longer.prompt.parts.begin() + 1, { 8, 3000 });
    longer.prompt.tokens += 3000;
    const auto first = fixture.submit(shorter);
    const auto second = fixture.submit(longer);
    REQUIRE(fixture.upstreamOf(first) != fixture.upstreamOf(second));
    fixture.now += 150ms;
    fixture.start(first);
    fixture.start(second);
    auto next = longer;
    next.key.number = ++fixture.number;
    next.avoid = { fixture.upstreamOf(second) };
    const auto last = fixture.submit(next);
    REQUIRE(fixture.placed.contains(last));
    CHECK(fixture.placed.at(last).copyFrom == fixture.upstreamOf(second));
    CHECK(fixture.placed.at(last).inputs.cachedTokens >= 6000);
}
