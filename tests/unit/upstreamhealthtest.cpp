#include "upstreamhealth.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace camphorshunt;

namespace {

constexpr auto start = Time { Duration { 1h } };

auto documentOf(std::size_t upstreams, std::uint32_t slots = 8) -> Document
{
    auto document = Document {};
    for (auto index = std::size_t { 0 }; index < upstreams; ++index) {
        const auto name = "e" + std::to_string(index);
        document.upstreams.push_back({ name, idOf<UpstreamId>(name), {}, "a", slots, false, false });
    }
    return document;
}

auto healthOf(std::size_t upstreams) -> UpstreamHealth
{
    auto health = UpstreamHealth {};
    health.setDocument(documentOf(upstreams));
    return health;
}

auto upstreamOf(std::size_t index) -> UpstreamId { return idOf<UpstreamId>("e" + std::to_string(index)); }

auto slotsOf(UpstreamHealth& health, Time now, std::size_t index) -> std::uint32_t
{
    return health.capacities(now, 0).at(index).slots;
}

auto fail(UpstreamHealth& health, Time now, std::size_t index, AttemptResult result, int times) -> void
{
    for (; times > 0; --times)
        health.recordAttemptEnd(now, upstreamOf(index), result, false);
}

} // namespace

TEST_CASE("Consecutive failures eject an upstream, and a successful trial readmits it")
{
    auto health = healthOf(4);
    fail(health, start, 1, AttemptResult::Broken, 2);
    CHECK(slotsOf(health, start, 1) == 8);
    fail(health, start, 1, AttemptResult::Broken, 1);
    CHECK(health.isEjected(start, upstreamOf(1)));
    CHECK(slotsOf(health, start, 1) == 0);

    // A success of work that was sent before the ejection doesn't end it.
    health.recordAttemptEnd(start, upstreamOf(1), AttemptResult::Complete, false);
    const auto later = start + 7s;
    CHECK(slotsOf(health, later, 1) == 1);
    fail(health, later, 1, AttemptResult::NotSent, 1);
    CHECK(slotsOf(health, later + 7s, 1) == 0);
    const auto again = later + 13s;
    CHECK(slotsOf(health, again, 1) == 1);
    health.recordAttemptEnd(again, upstreamOf(1), AttemptResult::Complete, false);
    CHECK(slotsOf(health, again, 1) == 8);
}

TEST_CASE("Refusals, failed answers and cancelled work do not eject an upstream")
{
    auto health = healthOf(4);
    fail(health, start, 0, AttemptResult::Refused, 50);
    fail(health, start, 0, AttemptResult::Cancelled, 50);
    fail(health, start, 0, AttemptResult::Failed, 50);
    CHECK(!health.isEjected(start, upstreamOf(0)));
    CHECK(slotsOf(health, start, 0) == 6);
}

TEST_CASE("A failure rate of one half ejects an upstream despite successes in between")
{
    auto health = healthOf(4);
    for (auto round = 0; round < 10; ++round) {
        fail(health, start, 2, AttemptResult::Complete, 1);
        fail(health, start, 2, AttemptResult::Silent, 1);
    }
    CHECK(health.isEjected(start, upstreamOf(2)));
}

TEST_CASE("The ejected upstreams of a shard never exceed the allowed fraction")
{
    CHECK(rc::check([] {
        const auto upstreams = *rc::gen::inRange<std::size_t>(1, 9);
        auto health = healthOf(upstreams);
        auto now = start;
        for (auto step = *rc::gen::inRange(0, 60); step > 0; --step) {
            const auto result = *rc::gen::element(AttemptResult::Complete, AttemptResult::NotSent,
                AttemptResult::Broken, AttemptResult::Silent, AttemptResult::Crossed);
            fail(health, now, *rc::gen::inRange<std::size_t>(0, upstreams), result, 3);
            now += Duration(1ms) * *rc::gen::inRange(0, 3000);
            const auto capacities = health.capacities(now, 0);
            const auto ejected = std::ranges::count(capacities, 0U, &UpstreamCapacity::slots);
            RC_ASSERT(static_cast<std::size_t>(ejected) <= upstreams / 2);
        }
    }));
}

TEST_CASE("An upstream gets no new work if any one source says that it is leaving")
{
    auto health = healthOf(4);
    const auto names = std::vector<std::string> { "e0" };
    health.setLeaving(names);
    health.recordAttemptEnd(start, upstreamOf(1), AttemptResult::Complete, true);
    health.recordLoad(start, { upstreamOf(2), 0, 0, 8, true });
    auto document = documentOf(4);
    document.upstreams[3].leaving = true;
    health.setDocument(document);
    for (auto index = std::size_t { 0 }; index < 4; ++index) {
        CHECK(!health.accepts(upstreamOf(index)));
        CHECK(slotsOf(health, start, index) == 0);
    }
    health.setLeaving({});
    CHECK(health.accepts(upstreamOf(0)));
    CHECK(!health.accepts({ 99 }));
}

TEST_CASE("The slot limit falls while the engine queues requests, and recovers to the document's slots")
{
    auto health = healthOf(2);
    health.recordLoad(start, { upstreamOf(0), 8, 3, 8, false });
    health.recordLoad(start + 1ms, { upstreamOf(0), 8, 3, 8, false });
    CHECK(slotsOf(health, start, 0) == 6);
    for (auto step = 1; step < 30; ++step)
        health.recordLoad(start + step * 1s, { upstreamOf(0), 8, 3, 8, false });
    CHECK(slotsOf(health, start, 0) == 1);
    for (auto step = 0; step < 20; ++step)
        health.recordLoad(start + 60s, { upstreamOf(0), 1, 0, 100, false });
    CHECK(slotsOf(health, start, 0) == 8);
}

TEST_CASE("An upstream whose load reports keep failing is ejected")
{
    auto health = healthOf(2);
    for (auto step = 0; step < 5; ++step)
        health.recordLoadFailure(start, upstreamOf(0));
    CHECK(health.isEjected(start, upstreamOf(0)));
}

TEST_CASE("Retries stay within their fraction of requests, plus a small floor that refills")
{
    auto budget = RetryBudget {};
    budget.setFraction(0.1);
    auto taken = 0;
    for (auto request = 0; request < 1000; ++request) {
        budget.recordRequest(start);
        taken += budget.tryAcquire(start) ? 1 : 0;
    }
    CHECK(taken >= 100);
    CHECK(taken <= 103);

    auto quiet = RetryBudget {};
    while (quiet.tryAcquire(start)) { }
    CHECK(!quiet.tryAcquire(start + 5s));
    CHECK(quiet.tryAcquire(start + 15s));
}
