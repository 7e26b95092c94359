#include "placerfixture.h"

#include <set>

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

constexpr auto tired = RouterId { 1 };
constexpr auto other = RouterId { 2 };
constexpr auto tokens = 50U;

/** Submits without letting the placer decide. */
auto queue(PlacerFixture& fixture, int count) -> void
{
    for (auto index = 0; index < count; ++index)
        fixture.placer.submit(fixture.now, fixture.requestOf(tired, tokens));
}

/** Lets all placed requests end until none waits. */
auto runAll(PlacerFixture& fixture) -> void
{
    auto ended = std::set<PlacementKey> {};
    for (auto round = 0; round < 400 && fixture.placer.waiting() > 0; ++round) {
        fixture.placeWaiting();
        fixture.now += 1ms;
        for (const auto& [key, accepted] : fixture.placed) {
            if (!ended.insert(key).second)
                continue;
            fixture.start(key);
            fixture.end(key);
        }
    }
}

} // namespace

TEST_CASE("An engine that leaves gets none of 200 requests that wait when the placer learns of it")
{
    auto fixture = PlacerFixture(3);
    queue(fixture, 200);
    const auto leaving = fixture.entries[0].id();
    fixture.placer.recordLeaving(fixture.now, leaving);
    // Read before the engine said that it leaves.
    fixture.placer.setUpstreams(fixture.now, fixture.entries);
    runAll(fixture);
    CHECK(fixture.placed.size() > 20);
    for (const auto& [key, accepted] : fixture.placed)
        CHECK(accepted.upstream != leaving);
}

TEST_CASE("What runs on an engine that leaves goes on")
{
    auto fixture = PlacerFixture(1);
    const auto key = fixture.submit(fixture.requestOf(tired, tokens));
    REQUIRE(fixture.placed.contains(key));
    fixture.placer.recordLeaving(fixture.now, fixture.entries[0].id());
    CHECK(fixture.placer.running() == 1);
    CHECK(fixture.placer.engines().begin()->second.running() == 1);
}

TEST_CASE("A new process of an engine that left gets requests")
{
    auto fixture = PlacerFixture(1);
    fixture.entries[0].startedAt = 5ms;
    fixture.placer.setUpstreams(fixture.now, fixture.entries);
    fixture.placer.recordLeaving(fixture.now, fixture.entries[0].id());
    fixture.entries[0].startedAt = 6ms;
    fixture.placer.setUpstreams(fixture.now, fixture.entries);
    CHECK(fixture.placed.contains(fixture.submit(fixture.requestOf(tired, tokens))));
}

TEST_CASE("If all engines leave, waiting and new requests are refused at once with a time to retry")
{
    auto fixture = PlacerFixture(2);
    queue(fixture, 50);
    for (const auto& entry : fixture.entries)
        fixture.placer.recordLeaving(fixture.now, entry.id());
    CHECK(fixture.placer.waiting() == 0);
    const auto key = fixture.submit(fixture.requestOf(tired, tokens));
    CHECK(fixture.placed.empty());
    CHECK(fixture.refused.size() == 51);
    CHECK(fixture.refused.at(key).retryAfter >= 1000ms);
}

TEST_CASE("An engine that wants rest from one router gets none of its requests, but those of others")
{
    auto fixture = PlacerFixture(2);
    // The one that is preferred while both are idle.
    const auto resting = fixture.placer.engines().begin()->first;
    const auto until = fixture.now + 500ms;
    fixture.placer.recordRest(fixture.now, resting, tired, until);
    auto ofOther = 0;
    while (fixture.now < until) {
        for (const auto router : { tired, other }) {
            const auto key = fixture.submit(fixture.requestOf(router, tokens));
            if (!fixture.placed.contains(key))
                continue;
            CHECK((router == other || fixture.upstreamOf(key) != resting));
            ofOther += fixture.upstreamOf(key) == resting ? 1 : 0;
            fixture.now += 2ms;
            fixture.start(key);
            fixture.end(key);
        }
        fixture.now += 5ms;
    }
    CHECK(ofOther > 10);
    CHECK(!fixture.placer.engines().at(resting).isSuspended(fixture.now));
    // Both engines serve the router again.
    auto used = std::set<UpstreamId> {};
    for (auto round = 0; round < 8; ++round) {
        const auto key = fixture.submit(fixture.requestOf(tired, tokens));
        if (fixture.placed.contains(key))
            used.insert(fixture.upstreamOf(key));
    }
    CHECK(used.contains(resting));
}

TEST_CASE("If all engines rest, requests wait that can be on time, and others are refused at once")
{
    auto fixture = PlacerFixture(2);
    fixture.placer.recordRest(fixture.now, fixture.entries[0].id(), tired, fixture.now + 300ms);
    fixture.placer.recordRest(fixture.now, fixture.entries[1].id(), tired, fixture.now + 60s);
    const auto waiting = fixture.submit(fixture.requestOf(tired, tokens));
    CHECK(!fixture.placed.contains(waiting));
    CHECK(!fixture.refused.contains(waiting));
    fixture.now += 299ms;
    fixture.placeWaiting();
    CHECK(!fixture.placed.contains(waiting));
    fixture.now += 1ms;
    fixture.placeWaiting();
    CHECK(fixture.upstreamOf(waiting) == fixture.entries[0].id());

    fixture.placer.recordRest(fixture.now, fixture.entries[0].id(), tired, fixture.now + 5s);
    auto times = std::set<std::chrono::milliseconds> {};
    for (auto round = 0; round < 10; ++round) {
        const auto late = fixture.submit(fixture.requestOf(tired, tokens));
        REQUIRE(fixture.refused.contains(late));
        CHECK(fixture.refused.at(late).retryAfter > 5s);
        CHECK(fixture.refused.at(late).retryAfter < 5500ms);
        times.insert(fixture.refused.at(late).retryAfter);
    }
    CHECK(times.size() > 3);
    CHECK(fixture.placed.contains(fixture.submit(fixture.requestOf(other, tokens))));
}

TEST_CASE("Requests that wait when the last engine begins a long rest are refused at once")
{
    auto fixture = PlacerFixture(1);
    queue(fixture, 20);
    fixture.placer.recordRest(fixture.now, fixture.entries[0].id(), tired, fixture.now + 30s);
    CHECK(fixture.placer.waiting() == 0);
    fixture.placeWaiting();
    CHECK(fixture.placed.empty());
    CHECK(fixture.refused.size() == 20);
}

TEST_CASE("Prompt parts are not copied from an engine that leaves")
{
    for (const auto leaves : { false, true }) {
        auto fixture = PlacerFixture(2);
        const auto first = fixture.submit(fixture.request("acme", 50, 7, 4000));
        REQUIRE(fixture.placed.contains(first));
        fixture.now += 200ms;
        fixture.start(first);
        fixture.end(first);
        auto next = fixture.request("acme", 50, 7, 4000);
        next.avoid = { fixture.upstreamOf(first) };
        if (leaves)
            fixture.placer.recordLeaving(fixture.now, fixture.upstreamOf(first));
        const auto second = fixture.submit(next);
        REQUIRE(fixture.placed.contains(second));
        CHECK(fixture.placed.at(second).copyFrom.has_value() == !leaves);
    }
}

// What was placed in the last second was taken for what the engines can do, also while they rested.
TEST_CASE("Requests for which the engines have places after a rest are not refused as over their share")
{
    auto fixture = PlacerFixture(2);
    const auto first = fixture.submit(fixture.requestOf(tired, tokens));
    REQUIRE(fixture.placed.contains(first));
    fixture.now += 5ms;
    fixture.start(first);
    fixture.end(first);
    for (const auto& entry : fixture.entries)
        fixture.placer.recordRest(fixture.now, entry.id(), tired, fixture.now + 300ms);
    for (auto count = 0; count < 8; ++count)
        fixture.submit(fixture.requestOf(tired, tokens));
    CHECK(fixture.refused.empty());
    CHECK(fixture.placer.waiting() == 8);
    // There is no place for more, and what was placed lately tells how long they would wait.
    fixture.submit(fixture.requestOf(tired, tokens));
    CHECK(fixture.refused.size() == 1);
    fixture.now += 301ms;
    runAll(fixture);
    CHECK(fixture.placed.size() == 9);
}
