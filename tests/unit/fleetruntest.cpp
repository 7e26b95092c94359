#include "fleetrun.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::load;
using namespace std::chrono_literals;

namespace {

using Kind = FleetEvent::Kind;
using Group = FleetEvent::Group;

/** Time within which every live router has a live placer that all agree on. */
constexpr auto takeoverTime = Duration(1s);
/** Time in which a published configuration is in force in every router in touch. */
constexpr auto configurationTime = Duration(4s);
/** Bytes a second that control may take of a small router in a fleet of 300, both directions. */
constexpr auto controlBytes = 10'000.0;

struct Play {
    std::size_t routers;
    std::uint64_t seed;
};
constexpr auto plays = { Play { 30, 1 }, Play { 30, 2 }, Play { 30, 3 }, Play { 300, 1 }, Play { 300, 2 } };

auto planOf(std::uint64_t seed, std::vector<FleetEvent> events) -> FleetPlan
{
    auto plan = FleetPlan {};
    plan.seed = seed;
    plan.duration = 6s;
    plan.engines = 20;
    plan.rate = 200;
    plan.events = std::move(events);
    return plan;
}

auto play(const FleetPlan& plan, std::size_t routers) -> FleetOutcome
{
    auto run = FleetRun(plan, routers);
    run.run();
    return run.outcome();
}

auto checkRequests(const FleetOutcome& outcome) -> void
{
    CHECK(outcome.requests > 0);
    CHECK(outcome.grantedTwice == 0);
    CHECK(outcome.lost == 0);
}

auto checkLoss(Group group) -> void
{
    for (const auto [routers, seed] : plays) {
        const auto outcome
            = play(planOf(seed, { { "loss", Kind::PowerOff, group, 3500ms, 0ms, 0ms } }), routers);
        CAPTURE(routers, seed);
        CHECK(outcome.phase("loss")->disagreed <= takeoverTime);
        checkRequests(outcome);
    }
}

} // namespace

TEST_CASE("Errors in a plan of a fleet name the invalid field")
{
    const auto errorField = [](std::string_view text) {
        const auto plan = FleetPlan::parse(text, "plan.json");
        return plan ? std::string("none") : plan.error().field;
    };
    CHECK(errorField(R"({ "fleets": [] })") == "plan.json: fleets");
    CHECK(errorField(R"({ "fleets": [{ "routers": 0 }] })") == "plan.json: fleets[0].routers");
    CHECK(errorField(R"({ "fleets": [{ "routers": 3 }], "events": [{ "name": "a", "kind": "odd" }] })")
        == "plan.json: events[0].kind");
    CHECK(FleetPlan::load(std::string(CAMPHORSHUNT_SAMPLES) + "/fleet.json"));
}

TEST_CASE("Simulations of a fleet with the same seed have the same results")
{
    const auto resultOf = [](std::uint64_t seed) {
        auto outcome = play(planOf(seed, { { "loss", Kind::PowerOff, Group::Third, 3s, 1s, 0ms } }), 30);
        // The only results that are measured in real time.
        outcome.realTime = {};
        for (auto* const load : { &outcome.small, &outcome.hub, &outcome.placer })
            load->processor = 0;
        return boost::json::serialize(outcome.json());
    };
    CHECK(resultOf(1) == resultOf(1));
    CHECK(resultOf(1) != resultOf(2));
}

TEST_CASE("After the loss of a third of the routers all agree on a placer in time")
{
    checkLoss(Group::Third);
}

TEST_CASE("After the loss of all hubs at once all agree on a placer in time") { checkLoss(Group::Hubs); }

TEST_CASE("After the loss of a failure domain all agree on a placer in time") { checkLoss(Group::Domain); }

TEST_CASE("After the loss of all larger routers at once all agree on a placer in time")
{
    checkLoss(Group::Large);
}

TEST_CASE("After a restart of all routers within a second each has a placer in time")
{
    for (const auto [routers, seed] : plays) {
        auto plan = planOf(seed, { { "restart", Kind::Restart, Group::All, 2500ms, 1s, 0ms } });
        const auto outcome = play(plan, routers);
        CAPTURE(routers, seed);
        CHECK(outcome.phase("restart, over")->unserved <= takeoverTime);
        CHECK(outcome.grantedTwice == 0);
    }
}

TEST_CASE("A placer that was paused grants nothing on old beliefs when it wakes")
{
    for (const auto [routers, seed] : plays) {
        auto plan = planOf(seed, { { "pause", Kind::Pause, Group::Placer, 2s, 3s, 0ms } });
        plan.duration = 7s + 500ms;
        const auto outcome = play(plan, routers);
        CAPTURE(routers, seed);
        CHECK(outcome.phase("pause")->disagreed <= takeoverTime);
        CHECK(outcome.phase("pause, over")->unserved <= takeoverTime);
        CHECK(outcome.grantsAfterPause == 0);
        checkRequests(outcome);
    }
}

TEST_CASE("A placer that is slow keeps serving, and no request is lost or granted twice")
{
    for (const auto [routers, seed] : plays) {
        const auto outcome
            = play(planOf(seed, { { "slow", Kind::Slow, Group::Placer, 3s, 1500ms, 150ms } }), routers);
        CAPTURE(routers, seed);
        CHECK(outcome.phase("slow")->unserved <= takeoverTime);
        checkRequests(outcome);
    }
}

TEST_CASE("Each half of a fleet that is cut in two has a placer in time, and so has the whole after it")
{
    for (const auto [routers, seed] : plays) {
        const auto outcome
            = play(planOf(seed, { { "cut", Kind::CutInHalves, Group::All, 2500ms, 1500ms, 0ms } }), routers);
        CAPTURE(routers, seed);
        CHECK(outcome.phase("cut")->unserved <= takeoverTime);
        CHECK(outcome.phase("cut, over")->unserved <= takeoverTime);
        checkRequests(outcome);
    }
}

TEST_CASE("While a third of the routers cannot be heard, the others have a placer in time")
{
    for (const auto [routers, seed] : plays) {
        const auto outcome
            = play(planOf(seed, { { "cut", Kind::CutOneWay, Group::Third, 2500ms, 1500ms, 0ms } }), routers);
        CAPTURE(routers, seed);
        CHECK(outcome.phase("cut")->unserved <= takeoverTime);
        CHECK(outcome.phase("cut, over")->unserved <= takeoverTime);
        CHECK(outcome.grantedTwice == 0);
    }
}

TEST_CASE(
    "A configuration that is published while a third of the links are down reaches every router in time")
{
    for (const auto [routers, seed] : plays) {
        auto plan = planOf(seed,
            { { "cut", Kind::CutLinks, Group::All, 2s, 6s, 0ms },
                { "publish", Kind::Publish, Group::All, 2500ms, 0ms, 0ms } });
        plan.rate = 0;
        plan.duration = 7s;
        const auto outcome = play(plan, routers);
        CAPTURE(routers, seed);
        CHECK(outcome.phase("publish")->outdated > 0ms);
        CHECK(outcome.phase("publish")->outdated <= configurationTime);
    }
}

TEST_CASE(
    "A small router's part in a fleet of 300 stays within its bytes, and its connections within the hubs")
{
    auto plan = planOf(1, {});
    plan.duration = 15s;
    plan.rate = 0;
    const auto outcome = play(plan, 300);
    CHECK(outcome.small.bytesSent + outcome.small.bytesReceived <= controlBytes);
    CHECK(outcome.small.connections <= router::HubRegistry::maxHubs);
}
