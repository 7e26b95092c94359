#include "availabilitysupport.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include "keptconnection.h"

using namespace camphorshunt;
using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

/** Whether the upstream gets requests again within two seconds. */
auto isUsedAgain(RouterFleet& fleet, std::size_t upstream) -> bool
{
    const auto before = fleet.runs(upstream).size();
    const auto isUsed = [&] {
        sendBurst(fleet.router(0).callers, plainRequest);
        return fleet.runs(upstream).size() > before;
    };
    return eventually(isUsed, 2s);
}

/** Gives requests so much time that all of a test's may wait for an engine. */
auto applyPatientGoals(RouterFleet& fleet) -> void
{
    auto configuration = RouterFleet::configuration(3);
    for (auto& route : configuration["routes"].as_array())
        route.as_object()["latency_goal_ms"] = 12000;
    fleet.putConfiguration(boost::json::serialize(configuration));
    std::this_thread::sleep_for(2s);
}

} // namespace

TEST_CASE("An upstream gets no requests after it has said that it leaves, in an answer of any kind")
{
    struct Kind {
        std::string route;
        std::string fault;
    };
    const auto kind = GENERATE(values<Kind>({ { "plain", "none" }, { "plain", "error" },
        { "plain", "refuse" }, { "plain", "unproved" }, { "plain", "unsigned" }, { "book", "none" },
        { "stream", "none" }, { "stream", "error" }, { "stream", "refuse" }, { "resume", "cut" } }));
    CAPTURE(kind.route, kind.fault);
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto isStream = kind.route == "stream" || kind.route == "resume";
    const auto service = TestedService { isStream ? 0 : desk, [&] {
                                            return isStream ? RouterFleet::stream(kind.route, 3)
                                                            : RouterFleet::request(kind.route, "POST");
                                        } };
    const auto mark = std::string(R"({"leaving":true,"afterEvents":1,"mode":")");
    fleet.fault(service.upstream, mark + kind.fault + R"("})");
    REQUIRE(sendUntilLeaving(fleet, 0, service));
    fleet.fault(service.upstream, R"({"mode":"none"})");
    std::this_thread::sleep_for(drainTime);
    CHECK(isAvoided(fleet, 0, service));
    // An entry of the directory that is written later and still names the upstream as ready.
    fleet.putUpstream(service.upstream);
    CHECK(isAvoided(fleet, 0, service));
}

TEST_CASE("A router that can't reach the store sends no requests to an upstream that said that it leaves")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    fleet.storeFault(R"({"mode":"refuse"})");
    const auto isModel = GENERATE(false, true);
    const auto service = testedService(isModel);
    fleet.fault(service.upstream, R"({"leaving":true})");
    REQUIRE(sendUntilLeaving(fleet, 0, service));
    std::this_thread::sleep_for(drainTime);
    CHECK(isAvoided(fleet, 0, service));
    fleet.storeFault(R"({"mode":"none"})");
    std::this_thread::sleep_for(1s);
    CHECK(isAvoided(fleet, 0, service));
}

TEST_CASE(
    "Requests that arrive while the router is suspended do not reach an upstream that said that it leaves")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto service = testedService(false);
    fleet.fault(desk, R"({"leaving":true})");
    REQUIRE(sendUntilLeaving(fleet, 0, service));
    std::this_thread::sleep_for(drainTime);
    const auto before = fleet.arrivals(desk).size();
    auto& router = fleet.router(0);
    router.process->signal(SIGSTOP);
    auto calls = std::vector<std::future<Answer>> {};
    for (auto index = 0; index < 20; ++index)
        calls.push_back(callAsync(router.callers, plainRequest()));
    std::this_thread::sleep_for(800ms);
    router.process->signal(SIGCONT);
    for (auto& each : calls)
        CHECK(isServed(each.get()));
    CHECK(fleet.arrivals(desk).size() == before);
    CHECK(isAvoided(fleet, 0, service));
}

TEST_CASE("A new upstream gets requests although an earlier one at its address said that it leaves")
{
    const auto hasNewName = GENERATE(false, true);
    CAPTURE(hasNewName);
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto old = fleet.upstream(desk).name;
    const auto service = testedService(false);
    fleet.fault(desk, R"({"leaving":true})");
    REQUIRE(sendUntilLeaving(fleet, 0, service));
    std::this_thread::sleep_for(drainTime);
    REQUIRE(isAvoided(fleet, 0, service));
    fleet.replaceUpstream(desk, hasNewName ? "desk-new" : old);
    if (hasNewName)
        fleet.put("keyed.servers", old, "");
    fleet.putUpstream(desk, "ready", 2);
    CHECK(isUsedAgain(fleet, desk));
}

TEST_CASE("An upstream that says that it leaves in its answer to a misdirected request gets no requests")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    // The directory still lists the upstream that had the address before.
    fleet.replaceUpstream(desk, "desk-new");
    const auto service = testedService(false);
    fleet.fault(desk, R"({"leaving":true})");
    REQUIRE(sendUntilLeaving(fleet, 0, service));
    std::this_thread::sleep_for(drainTime);
    fleet.putUpstream(desk, "ready", 2);
    std::this_thread::sleep_for(1s);
    CHECK(isAvoided(fleet, 0, service));
    CHECK(fleet.runs(desk).empty());
}

TEST_CASE("Requests that wait for an engine are not sent to one that says that it leaves or wants rest")
{
    const auto leaves = GENERATE(true, false);
    CAPTURE(leaves);
    auto options = RouterFleet::Options {};
    options.routers = leaves ? 2 : 1;
    options.engineFlags = { "--token_ms=10" };
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    applyPatientGoals(fleet);
    constexpr auto requests = 200;
    auto calls = std::vector<std::future<Answer>> {};
    for (auto index = 0; index < requests; ++index) {
        auto request = withHeader(RouterFleet::stream("resume", 30), "X-Deadline-Ms", "15000");
        calls.push_back(callAsync(fleet.router(index % options.routers).callers, std::move(request)));
    }
    const auto waiting = [&] {
        auto sum = 0.0;
        for (auto router = std::size_t { 0 }; router < options.routers; ++router)
            sum += fleet.metric(router, "router_requests_waiting");
        return sum;
    };
    constexpr auto enough = 100;
    REQUIRE(eventually([&] { return waiting() >= enough; }, 3s));
    fleet.fault(0, leaves ? R"({"leaving":true})" : restFor("4"));
    for (auto& each : calls) {
        const auto answer = each.get();
        const auto isTrueRefusal = answer.status == 503 && isOwn(answer) && retryAfter(answer).count() > 0;
        INFO(answer.status << " " << answer.body);
        CHECK((isServed(answer) || isTrueRefusal));
    }
    CHECK(fleet.runs(1).size() >= requests / 4);
    if (leaves)
        CHECK(arrivalsAfterAnswer(fleet, 0, drainTime) == 0);
    else
        CHECK(arrivalsAfterAnswer(fleet, 0, restGrace, 4s) <= maxInRest);
}

TEST_CASE("Once one router is told that an upstream leaves, the others send it no requests either")
{
    const auto isModel = GENERATE(false, true);
    const auto service = testedService(isModel);
    CAPTURE(isModel);
    auto options = RouterFleet::Options {};
    options.routers = 3;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    fleet.fault(service.upstream, R"({"leaving":true})");
    REQUIRE(sendUntilLeaving(fleet, 0, service));
    std::this_thread::sleep_for(2 * drainTime);
    CHECK(isAvoided(fleet, 1, service));
    CHECK(isAvoided(fleet, 2, service));
}

TEST_CASE("Requests are refused at once if all upstreams said that they leave")
{
    const auto isModel = GENERATE(false, true);
    CAPTURE(isModel);
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto service = testedService(isModel);
    fleet.fault(service.upstream, R"({"leaving":true})");
    fleet.fault(service.upstream + 1, R"({"leaving":true})");
    REQUIRE(sendUntilLeaving(fleet, 0, service));
    REQUIRE(sendUntilLeaving(fleet, 0, { service.upstream + 1, service.make }));
    std::this_thread::sleep_for(drainTime);
    const auto before = fleet.totalRuns();
    for (auto round = 0; round < 10; ++round) {
        const auto sent = Clock::now();
        const auto answer = call(fleet.router(0).callers, service.make());
        CHECK(Clock::now() - sent < refusalTime);
        CHECK(answer.status == 503);
        CHECK(isOwn(answer));
        CHECK(retryAfter(answer).count() > 0);
    }
    CHECK(fleet.totalRuns() == before);
}

TEST_CASE("Streams that run on an engine when it says that it leaves are not cut")
{
    auto options = RouterFleet::Options {};
    options.engineFlags = { "--token_ms=20" };
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    constexpr auto events = std::size_t { 80 };
    auto running = std::vector<std::future<Answer>> {};
    const auto start = [&](int streams) {
        for (auto index = 0; index < streams; ++index)
            running.push_back(callAsync(fleet.router(0).callers, RouterFleet::stream("resume", events)));
    };
    // One engine has eight slots, so that the second one gets the others.
    start(12);
    REQUIRE(eventually([&] { return fleet.working(0) + fleet.working(1) == 12; }, 1s));
    const auto leaving = std::size_t { fleet.working(0) < fleet.working(1) ? 0U : 1U };
    fleet.fault(leaving, R"({"leaving":true})");
    start(2);
    REQUIRE(eventually([&] { return saidLeaving(fleet, leaving); }, 1s));
    for (auto& each : running) {
        const auto answer = each.get();
        CHECK(isServed(answer));
        CHECK(answer.body.ends_with("data: token " + std::to_string(events) + "\n\n"));
    }
    CHECK(fleet.totalRuns() == running.size());
}

TEST_CASE("An engine that said that it leaves is not asked for copies of the prompts that it has cached")
{
    const auto leaves = GENERATE(false, true);
    CAPTURE(leaves);
    auto options = RouterFleet::Options {};
    options.engineFlags = { "--token_ms=20" };
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    applyPatientGoals(fleet);
    const auto make = [] {
        const auto stream = withHeader(RouterFleet::stream("resume", 100), "X-Token-Count", "20500,100");
        const auto patient = withHeader(stream, "X-Deadline-Ms", "12000");
        return withHeader(patient, "X-Prompt-Prefix", "5c1e07a2:20000,91bd3f06:500");
    };
    const auto& callers = fleet.router(0).callers;
    auto running = std::vector<std::future<Answer>> {};
    running.push_back(callAsync(callers, make()));
    REQUIRE(eventually([&] { return fleet.totalRuns() == 1; }, 5s));
    const auto holder = std::size_t { fleet.runs(0).empty() ? 1U : 0U };
    // The holder gets as many as it can run, the first of which says that it leaves.
    fleet.fault(holder, leaves ? R"({"leaving":true})" : R"({"leaving":false})");
    running.push_back(callAsync(callers, make()));
    REQUIRE(eventually([&] { return fleet.totalRuns() == 2; }, 5s));
    std::this_thread::sleep_for(drainTime);
    for (auto index = 0; index < 12; ++index)
        running.push_back(callAsync(callers, make()));
    for (auto& each : running)
        CHECK(isServed(each.get()));
    const auto runs = fleet.runs(1 - holder);
    const auto copies = std::ranges::count(
        runs, fleet.upstream(holder).endpoint.text(), [](const auto& run) { return run.at("Kv-Fetch"); });
    INFO(runs.size() << " runs at the other engine");
    REQUIRE(!runs.empty());
    // Without the mark copies are made, so that their lack has a meaning.
    CHECK((copies > 0) != leaves);
}

TEST_CASE("Requests on a kept connection do not reach an upstream that said that it leaves")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    auto caller = KeptConnection(fleet.router(0).callers);
    fleet.fault(desk, R"({"leaving":true})");
    const auto saysLeaving = [&] { return caller.call(plainRequest()) == 200 && saidLeaving(fleet, desk); };
    REQUIRE(eventually(saysLeaving, 10s));
    std::this_thread::sleep_for(drainTime);
    const auto before = fleet.arrivals(desk).size();
    for (auto round = 0; round < 50; ++round)
        CHECK(caller.call(plainRequest()) == 200);
    CHECK(fleet.arrivals(desk).size() == before);
}
