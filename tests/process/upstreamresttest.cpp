#include "availabilitysupport.h"

#include <chrono>
#include <ctime>
#include <set>
#include <thread>

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

auto httpDate(std::chrono::seconds fromNow) -> std::string
{
    const auto time = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now() + fromNow);
    auto parts = std::tm {};
    ::gmtime_r(&time, &parts);
    auto text = std::string(40, '\0');
    text.resize(std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &parts));
    return text;
}

} // namespace

TEST_CASE(
    "A rest that an upstream wants from one router neither holds back another one nor ends with the other's")
{
    auto options = RouterFleet::Options {};
    options.routers = 2;
    options.plain = 1;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    const auto send = [&](std::size_t router) {
        const auto request = withHeader(RouterFleet::request("book", "POST"), "X-Deadline-Ms", "500");
        return call(fleet.router(router).callers, request);
    };
    fleet.fault(desk, restFor("4"));
    REQUIRE(send(0).status == 503);
    CHECK(isServed(send(1)));
    fleet.fault(desk, restFor("1"));
    REQUIRE(send(1).status == 503);
    const auto before = fleet.arrivals(desk).size();
    std::this_thread::sleep_for(1200ms);
    for (auto round = 0; round < 10; ++round)
        CHECK(send(0).status == 503);
    CHECK(fleet.arrivals(desk).size() - before <= maxInRest);
    CHECK(isServed(send(1)));
    std::this_thread::sleep_for(3s);
    CHECK(isServed(send(0)));
}

TEST_CASE("An upstream gets no requests during the rest that it wants, and is used again after it")
{
    struct Form {
        std::string text;
        Milliseconds rest;
    };
    const auto form = GENERATE(values<Form>({ { "2", 2s }, { "1.5", 1500ms }, { "date", 2s }, { "", 0s },
        { "-3", 0s }, { "soon", 0s }, { "0", 0s }, { "nan", 0s } }));
    const auto isModel = GENERATE(false, true);
    CAPTURE(form.text, isModel);
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto service = testedService(isModel);
    fleet.fault(service.upstream, restFor(form.text == "date" ? httpDate(3s) : form.text));
    REQUIRE(sendUntilArrival(fleet, service));
    const auto begin = Clock::now();
    // A date is given in whole seconds, so that its rest ends up to a second later.
    while (Clock::now() - begin < form.rest + 2s)
        sendBurst(fleet.router(0).callers, service.make);
    CHECK(arrivalsAfterAnswer(fleet, service.upstream, restGrace, form.rest) <= maxInRest);
    CHECK(arrivalsAfterAnswer(fleet, service.upstream, form.rest) > 0);
    CHECK(fleet.arrivals(service.upstream).back().status == 200);
}

TEST_CASE("A huge rest is respected and does not stop the router")
{
    const auto text = GENERATE(as<std::string> {}, "1000000000", "99999999999999999999999999999999");
    CAPTURE(text);
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto service = testedService(false);
    fleet.fault(desk, restFor(text));
    REQUIRE(sendUntilArrival(fleet, service));
    std::this_thread::sleep_for(restGrace);
    for (auto round = 0; round < 3; ++round)
        CHECK(isAvoided(fleet, 0, service));
    CHECK(arrivalsAfterAnswer(fleet, desk, restGrace) <= maxInRest);
    CHECK(fleet.router(0).process->isRunning());
}

TEST_CASE("A request that can be served in time after a rest is not refused")
{
    auto options = RouterFleet::Options {};
    options.engines = 1;
    options.plain = 1;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    const auto isModel = GENERATE(false, true);
    const auto upstream = std::size_t { isModel ? 0U : 1U };
    const auto service = TestedService { upstream, testedService(isModel).make };
    CAPTURE(isModel);
    fleet.fault(upstream, restFor("0.3"));
    auto first = callAsync(fleet.router(0).callers, service.make());
    REQUIRE(eventually([&] { return !fleet.arrivals(upstream).empty(); }, 5s));
    CHECK(sendBurst(fleet.router(0).callers, service.make));
    CHECK(isServed(first.get()));
}

TEST_CASE("While all upstreams rest too long, requests are refused at once, and their callers return after "
          "the rest")
{
    const auto isModel = GENERATE(false, true);
    CAPTURE(isModel);
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto service = testedService(isModel);
    const auto& callers = fleet.router(0).callers;
    const auto begin = Clock::now();
    constexpr auto soonest = 6s;
    const auto other = TestedService { service.upstream + 1, service.make };
    fleet.fault(service.upstream, restFor("6", -1));
    fleet.fault(other.upstream, restFor("9", -1));
    REQUIRE(sendUntilArrival(fleet, service));
    REQUIRE(sendUntilArrival(fleet, other));
    std::this_thread::sleep_for(restGrace);
    auto times = std::set<double> {};
    constexpr auto requests = 20;
    for (auto round = 0; round < requests; ++round) {
        const auto sent = Clock::now();
        const auto answer = call(callers, service.make());
        const auto now = Clock::now();
        CHECK(now - sent < refusalTime);
        CHECK(answer.status == 503);
        CHECK(isOwn(answer));
        CHECK(retryAfter(answer) >= soonest - (now - begin));
        times.insert(retryAfter(answer).count());
    }
    CHECK(times.size() >= requests / 4);
    CHECK(arrivalsAfterAnswer(fleet, service.upstream, restGrace, soonest) <= maxInRest);
    CHECK(arrivalsAfterAnswer(fleet, other.upstream, restGrace, soonest) <= maxInRest);
}
