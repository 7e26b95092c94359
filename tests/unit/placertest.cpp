#include "placer.h"

#include <map>

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace std::chrono_literals;

namespace {

constexpr auto service = ServiceId { 77 };

/** A placer with engines of 4 slots, on a clock of its own. */
struct PlacerFixture {
    explicit PlacerFixture(std::size_t engineCount, std::uint64_t memoryTokens = 1000000)
    {
        for (auto index = std::size_t { 0 }; index < engineCount; ++index) {
            auto entry = UpstreamEntry {};
            entry.name = "engine-" + std::to_string(index);
            entry.service = service;
            entry.endpoint = { "10.0.0." + std::to_string(index + 1), 80 };
            entry.failureDomain = "zone-a";
            entry.slots = 4;
            entries.push_back(entry);
        }
        placer.setTraits({ 4, memoryTokens, 500.0 }, 0);
        placer.setUpstreams(now, entries);
    }

    auto request(std::string_view organisation, std::uint32_t ownTokens, std::uint64_t session = 0,
        std::uint32_t sharedTokens = 0) -> PlacementRequest
    {
        auto made = PlacementRequest {};
        made.key = { RouterId { 1 }, ++number };
        made.service = service;
        made.organisation = idOf<OrganisationId>(organisation);
        made.failureDomain = hashName("zone-a");
        made.prompt.tokens = sharedTokens + ownTokens;
        made.prompt.outputLimit = 10;
        if (sharedTokens > 0)
            made.prompt.parts.push_back({ session, sharedTokens });
        made.prompt.parts.push_back({ 1000000 + number, ownTokens });
        made.goal = now + 800ms;
        made.deadline = now + 10s;
        return made;
    }

    /** Submits, pumps and keeps what was said. */
    auto submit(const PlacementRequest& asked) -> PlacementKey
    {
        organisations[asked.key] = asked.organisation;
        placer.submit(now, asked);
        pump();
        return asked.key;
    }

    auto pump() -> void
    {
        for (const auto& verdict : placer.pump(now)) {
            if (const auto* const said = std::get_if<Placed>(&verdict))
                placed[said->key] = *said;
            else
                refused[std::get<PlacementRefused>(verdict).key] = std::get<PlacementRefused>(verdict);
        }
    }

    auto start(const PlacementKey& key) -> void { placer.started(now, key); }
    auto end(const PlacementKey& key, PlacementEnd how = PlacementEnd::Finished) -> void
    {
        placer.ended(now, key, how);
    }
    auto upstreamOf(const PlacementKey& key) const -> UpstreamId { return placed.at(key).upstream; }

    Time now { 100s };
    std::uint64_t number = 0;
    std::vector<UpstreamEntry> entries;
    Placer placer { Placer::Settings {} };
    std::map<PlacementKey, Placed> placed;
    std::map<PlacementKey, PlacementRefused> refused;
    std::map<PlacementKey, OrganisationId> organisations;
};

} // namespace

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
    fixture.pump();
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
    fixture.pump();
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
    fixture.pump();
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
    fixture.pump();
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

TEST_CASE("Of backlogged organisations the one with the least recent service is placed first")
{
    auto fixture = PlacerFixture(1);
    auto running = fixture.submit(fixture.request("large", 4000));
    for (auto index = 0; index < 20; ++index)
        fixture.submit(fixture.request("large", 4000));
    const auto small = fixture.submit(fixture.request("small", 4000));
    fixture.now += 90ms;
    fixture.start(running);
    fixture.end(running);
    fixture.pump();
    CHECK(fixture.placed.contains(small));
}

TEST_CASE("Under lasting overload two organisations with equal demand get equal service, a small one all of "
          "its own")
{
    auto fixture = PlacerFixture(2);
    auto served = std::map<std::string, double> {};
    auto names = std::map<PlacementKey, std::string> {};
    auto smallAsked = 0;
    auto smallServed = 0;
    auto busyUntil = std::map<UpstreamId, Time> {};
    auto due = std::multimap<Time, PlacementKey> {};
    const auto ask = [&](const std::string& name) {
        const auto asked = fixture.request(name, 3000);
        names[asked.key] = name;
        fixture.submit(asked);
    };
    for (auto step = 0; step < 4000; ++step) {
        fixture.now += 5ms;
        // Each engine reads 50 tokens a millisecond: 3,000 tokens in 60 ms. A is asked for thrice what B is.
        if (step % 2 == 0)
            ask("A");
        if (step % 6 == 0)
            ask("B");
        if (step % 40 == 0) {
            ask("small");
            ++smallAsked;
        }
        for (const auto& [key, said] : fixture.placed) {
            auto& until = busyUntil[said.upstream];
            until = std::max(until, fixture.now) + 60ms;
            due.emplace(until, key);
            served[names[key]] += 3000;
            smallServed += names[key] == "small" ? 1 : 0;
        }
        fixture.placed.clear();
        while (!due.empty() && due.begin()->first <= fixture.now) {
            fixture.start(due.begin()->second);
            fixture.end(due.begin()->second);
            due.erase(due.begin());
        }
        fixture.pump();
    }
    CHECK(smallServed >= smallAsked * 95 / 100);
    CHECK(served["A"] / served["B"] < 1.15);
    CHECK(served["A"] / served["B"] > 0.85);
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
            fixture.pump();
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
    fixture.now += 60ms;
    fixture.pump();
    CHECK(fixture.placed.contains(key));
}

TEST_CASE("A request that can't be on time any more is refused, not held until its deadline")
{
    auto fixture = PlacerFixture(1);
    fixture.submit(fixture.request("a", 100000));
    const auto waiting = fixture.submit(fixture.request("b", 100));
    CHECK(!fixture.placed.contains(waiting));
    fixture.now += 1410ms;
    fixture.pump();
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
    fixture.pump();
    CHECK(fixture.placed.contains(inTime));
    CHECK(!fixture.placed.contains(late));
    fixture.start(inTime);
    fixture.pump();
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
    overdue.pump();
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
    fixture.placer.forgetRouter(fixture.now, RouterId { 1 });
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
        fixture.placer.adopt(fixture.now, { fixture.request("a", 10), fixture.entries[0].id(), true });
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
    const auto before = fixture.placer.engines().begin()->second.tokensReadPerMs();
    for (auto index = 0; index < 60; ++index) {
        const auto key = fixture.submit(fixture.request("a", 5000));
        // Ten tokens a millisecond.
        fixture.now += 500ms;
        fixture.start(key);
        fixture.end(key);
    }
    const auto after = fixture.placer.engines().begin()->second.tokensReadPerMs();
    CHECK(before > 30);
    CHECK(after < 15);
    CHECK(after > 7);
}

namespace {

/** Engines that read 50 tokens a millisecond, so 3,000 tokens in 60 ms, under a load that the test makes. */
struct LoadedPlacer : PlacerFixture {
    LoadedPlacer()
        : PlacerFixture(2)
    {
    }

    auto ask(const std::string& name, Duration goal) -> void
    {
        auto asked = request(name, 3000);
        asked.goal = now + goal;
        names[asked.key] = name;
        submit(asked);
    }

    auto step() -> void
    {
        for (const auto& [key, said] : placed) {
            auto& until = busyUntil[said.upstream];
            until = std::max(until, now) + 60ms;
            due.emplace(until, key);
            served[names[key]] += 3000;
        }
        placed.clear();
        now += 5ms;
        while (!due.empty() && due.begin()->first <= now) {
            start(due.begin()->second);
            end(due.begin()->second);
            due.erase(due.begin());
        }
        pump();
    }

    std::map<std::string, double> served;
    std::map<PlacementKey, std::string> names;
    std::map<UpstreamId, Time> busyUntil;
    std::multimap<Time, PlacementKey> due;
};

constexpr auto stepsOfASecond = 200;

} // namespace

TEST_CASE("An organisation whose requests arrive late still gets at least half of another's service")
{
    auto load = LoadedPlacer {};
    for (auto step = 0; step < 12 * stepsOfASecond; ++step) {
        if (step % 4 == 0) {
            load.ask("prompt", 800ms);
            load.ask("late", -100ms);
        }
        load.step();
    }
    CHECK(load.served["late"] >= load.served["prompt"] / 2);
    CHECK(load.served["prompt"] >= load.served["late"]);
}

TEST_CASE("An organisation that took what nobody else wanted gets half of the best service in the six "
          "seconds after")
{
    auto load = LoadedPlacer {};
    for (auto step = 0; step < 6 * stepsOfASecond; ++step) {
        if (step % 4 == 0)
            load.ask("large", 800ms);
        if (step % 40 == 0)
            load.ask("small", 800ms);
        load.step();
    }
    load.served.clear();
    for (auto step = 0; step < 6 * stepsOfASecond; ++step) {
        if (step % 4 == 0) {
            load.ask("large", 800ms);
            load.ask("small", 800ms);
            load.ask("other", 800ms);
        }
        load.step();
    }
    const auto best = std::max(load.served["small"], load.served["other"]);
    CHECK(load.served["large"] >= best / 2);
    CHECK(best >= load.served["large"]);
}
