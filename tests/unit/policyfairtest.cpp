#include <algorithm>

#include <rapidcheck.h>

#include "shardfleet.h"

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

constexpr auto kInteractive = RequestClass::Interactive;
constexpr auto kDeferrable = RequestClass::Deferrable;

/** A backlogged organisation whose requests arrive at one or two of three routers. */
auto anyLoad(std::uint64_t organisation) -> Load
{
    auto load = Load { OrganisationId { organisation }, kInteractive, { 0, 0, 0 }, 1 };
    load.waiting[*rc::gen::inRange(0, 3)] = 20;
    load.waiting[*rc::gen::inRange(0, 3)] = 40;
    load.maxCost = *rc::gen::element(1U, 10U, 100U);
    load.hintFactor = *rc::gen::element(0.1, 1.0, 10.0);
    return load;
}

auto anyLoads() -> std::vector<Load>
{
    auto loads = std::vector<Load> {};
    const auto count = *rc::gen::inRange<std::uint64_t>(2, 7);
    for (auto organisation = std::uint64_t { 1 }; organisation <= count; ++organisation)
        loads.push_back(anyLoad(organisation));
    return loads;
}

auto largest(const std::vector<Load>& loads) -> double
{
    return std::ranges::max(loads, {}, &Load::maxCost).maxCost
        / std::ranges::min(loads, {}, &Load::weight).weight;
}

/** Grants one slot and ends it for `organisation` with these units; returns whose request was granted. */
auto grantAndEnd(ShardDispatcher& shard, OrganisationId organisation, double units) -> OrganisationId
{
    const auto grants = grantsOf(shard).at(RouterId { 2 }).grants;
    const auto& grant = grants.at(0);
    shard.apply(Time {}, RouterId { 2 },
        Ends { kShard, { SlotEnd { grant.id, organisation, grant.upstream, units, false } }, {} });
    return grant.organisation;
}

} // namespace

TEST_CASE("The service of backlogged organisations differs by at most two largest requests, for any hints "
          "and entries")
{
    CHECK(rc::check([] {
        const auto loads = anyLoads();
        const auto slots = *rc::gen::inRange(1U, 17U);
        auto fleet
            = ShardFleet(makeShard(shardSettings(), slots), loads, *rc::gen::arbitrary<std::uint64_t>());
        auto gap = GapMeter(loads.size());
        for (auto step = 0; step < 1500; ++step) {
            fleet.step();
            gap.record(fleet);
        }
        RC_ASSERT(gap.widest() <= 2 * largest(loads));
    }));
}

TEST_CASE(
    "The service of weighted organisations differs by at most two largest requests at the minimum weight")
{
    CHECK(rc::check([] {
        auto loads = anyLoads();
        for (auto& load : loads)
            load.weight = *rc::gen::element(1.0, 2.0, 4.0);
        auto fleet = ShardFleet(makeShard(shardSettings(), *rc::gen::inRange(1U, 17U)), loads,
            *rc::gen::arbitrary<std::uint64_t>());
        auto gap = GapMeter(loads.size());
        for (auto step = 0; step < 1500; ++step) {
            fleet.step();
            gap.record(fleet);
        }
        RC_ASSERT(gap.widest() <= 2 * largest(loads));
    }));
}

TEST_CASE("Intermittent floods of other organisations leave the service gap of two backlogged ones bounded")
{
    CHECK(rc::check([] {
        const auto loads = anyLoads();
        auto fleet = ShardFleet(makeShard(shardSettings(), *rc::gen::inRange(1U, 17U)), loads,
            *rc::gen::arbitrary<std::uint64_t>());
        auto gap = GapMeter(2);
        for (auto step = 0; step < 1500; ++step) {
            for (auto load = std::size_t { 2 }; load < loads.size() && step % 150 == 0; ++load)
                fleet.setWaiting(load, std::vector<std::size_t>(3, step % 300 == 0 ? 200 : 0));
            fleet.step();
            gap.record(fleet);
        }
        RC_ASSERT(gap.widest() <= 2 * largest(loads));
    }));
}

TEST_CASE("An organisation that was idle starts at the lowest level of the backlogged ones")
{
    auto shard = makeShard(shardSettings(), 1);
    const auto early = OrganisationId { 1 };
    const auto late = OrganisationId { 2 };
    shard->apply(Time {}, RouterId { 2 }, demandOf({ { early, kInteractive, 1000, 10 } }));
    for (auto turn = 0; turn < 100; ++turn)
        grantAndEnd(*shard, early, 10);
    shard->apply(Time {}, RouterId { 2 }, demandOf({ { late, kInteractive, 1000, 10 } }));
    auto lateTurns = 0;
    for (auto turn = 0; turn < 20; ++turn)
        lateTurns += grantAndEnd(*shard, early, 10) == late ? 1 : 0;
    CHECK(lateTurns >= 9);
    CHECK(lateTurns <= 11);
}

TEST_CASE("Shifting the levels back to zero does not change the order of service")
{
    auto shard = makeShard(shardSettings(), 1);
    const auto even = OrganisationId { 1 };
    const auto odd = OrganisationId { 2 };
    shard->apply(Time {}, RouterId { 2 },
        demandOf({ { even, kInteractive, 1000, 1 }, { odd, kInteractive, 1000, 1 } }));
    REQUIRE(grantAndEnd(*shard, even, 1.55e9) == even);
    auto oddTurns = 0;
    while (grantAndEnd(*shard, odd, 1e8) == odd)
        ++oddTurns;
    CHECK(oddTurns == 16);
}

TEST_CASE(
    "Deferrable requests leave the reserved slots to interactive ones, and neither class starves the other")
{
    const auto deferrable = OrganisationId { 1 };
    const auto callers = OrganisationId { 2 };
    auto fleet = ShardFleet(makeShard(shardSettings(1, 2), 8),
        { Load { deferrable, kDeferrable, { 500, 0 }, 100, 100 },
            Load { callers, kInteractive, { 0, 0 }, 2, 2 } },
        1);
    for (auto step = 0; step < 50; ++step)
        fleet.step();
    CHECK(fleet.service(0) == 6 * 49);

    fleet.setWaiting(1, { 0, 1 });
    fleet.step();
    fleet.step();
    CHECK(fleet.service(1) >= 1);

    // Both are backlogged: the deferrable requests have their share of all slots.
    fleet.setWaiting(1, { 50, 50 });
    const auto before = fleet.service(0);
    for (auto step = 0; step < 2000; ++step)
        fleet.step();
    CHECK(fleet.service(0) - before >= 2000 * 3.5);
}

TEST_CASE("Organisations limited by the reserved slots do not starve interactive requests later")
{
    auto loads = std::vector<Load> {};
    for (auto organisation = std::uint64_t { 1 }; organisation <= 15; ++organisation)
        loads.push_back(Load { OrganisationId { organisation }, kDeferrable, { 5, 5 }, 10, 10 });
    loads.push_back(Load { OrganisationId { 16 }, kInteractive, { 20, 20 }, 10, 10 });
    auto fleet = ShardFleet(makeShard(shardSettings(1, 4), 8), loads, 1);
    for (auto step = 0; step < 4000; ++step)
        fleet.step();
    const auto before = fleet.service(15);
    // One organisation switches from deferrable to interactive requests; the interactive organisation keeps
    // about half of the reserved slots.
    for (auto step = 0; step < 10; ++step) {
        fleet.setWaiting(0, { 0, 0 });
        fleet.step();
    }
    auto more = Load { OrganisationId { 1 }, kInteractive, { 20, 20 }, 10, 10 };
    fleet.add(more);
    for (auto step = 0; step < 200; ++step)
        fleet.step();
    CHECK(fleet.service(15) - before >= 200);
}

TEST_CASE("No entry router starves within an organisation")
{
    auto fleet = ShardFleet(makeShard(shardSettings(), 2),
        { Load { OrganisationId { 1 }, kInteractive, { 900, 1, 5 }, 1, 4 } }, 1);
    for (auto step = 0; step < 900; ++step)
        fleet.step();
    CHECK(fleet.started(RouterId { 2 }) > 150);
    CHECK(fleet.started(RouterId { 3 }) > 150);
}

TEST_CASE("Totals of another shard count once for each incarnation of its dispatcher")
{
    auto settings = shardSettings(10);
    settings.dispatch.shards = 2;
    settings.dispatch.quantum = 100;
    auto shard = makeShard(settings, 1);
    const auto served = OrganisationId { 1 };
    const auto waiting = OrganisationId { 2 };
    shard->apply(Time {}, RouterId { 2 },
        demandOf({ { served, kInteractive, 1000, 10 }, { waiting, kInteractive, 1000, 10 } }));
    const auto reportTotal = [&](std::uint64_t run, double units) {
        shard->apply(Time {},
            Totals {
                ShardId { kShard.service, 1 }, Incarnation { run }, { ServiceTotal { served, units } } });
    };
    const auto underservedTurns = [&] {
        auto turns = 0;
        for (; grantAndEnd(*shard, waiting, 10) == waiting; ++turns) { }
        return turns;
    };
    underservedTurns();
    reportTotal(11, 200);
    reportTotal(11, 200);
    const auto first = underservedTurns();
    CHECK(first >= 19);
    CHECK(first <= 21);
    reportTotal(12, 100);
    reportTotal(11, 200);
    const auto second = underservedTurns();
    CHECK(second >= 9);
    CHECK(second <= 11);
    reportTotal(12, 100);
    CHECK(underservedTurns() <= 2);
}

TEST_CASE("A total is reported when its unreported part reaches the quantum")
{
    auto settings = shardSettings();
    settings.dispatch.shards = 2;
    settings.dispatch.quantum = 25;
    auto shard = makeShard(settings, 1);
    const auto organisation = OrganisationId { 1 };
    shard->apply(Time {}, RouterId { 2 }, demandOf({ { organisation, kInteractive, 10, 10 } }));
    grantAndEnd(*shard, organisation, 10);
    grantAndEnd(*shard, organisation, 10);
    CHECK(shard->takeTotals(Time {}).empty());
    grantAndEnd(*shard, organisation, 10);
    const auto totals = shard->takeTotals(Time {});
    REQUIRE(totals.size() == 1);
    CHECK(totals.front().units == 30);
    CHECK(shard->takeTotals(Time {}).empty());
}
