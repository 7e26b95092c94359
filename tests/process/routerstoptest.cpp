#include "routerfleet.h"

#include <signal.h>
#include <thread>

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;
using namespace std::chrono_literals;

TEST_CASE("A stopping router reports not ready immediately, finishes its streams and refuses late ones")
{
    auto options = RouterFleet::Options {};
    options.routers = 2;
    options.engineFlags = { "--slots=8", "--token_ms=100" };
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto watched = WatchedCall(fleet.router(0).callers, RouterFleet::stream("stream", 25));
    REQUIRE(watched.waitFor("id: 2\n"));
    fleet.router(0).process->signal(SIGTERM);
    CHECK(eventually([&] { return !fleet.isReady(0); }, 1s));
    std::this_thread::sleep_for(2600ms);
    const auto late = call(fleet.router(0).callers, RouterFleet::stream("stream", 50));
    CHECK(late.status == 503);
    CHECK(isOwn(late));
    const auto answer = watched.finish();
    CHECK(answer.isComplete());
    CHECK(answer.body.find("id: 25\n") != std::string::npos);
    CHECK(fleet.router(0).process->wait() == 0);
}

TEST_CASE("A router that is told to stop ends before it would be killed, whatever still runs")
{
    auto options = RouterFleet::Options {};
    options.engineFlags = { "--slots=8", "--token_ms=100" };
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto watched = WatchedCall(
        fleet.router(0).callers, withHeader(RouterFleet::stream("stream", 1000), "X-Deadline-Ms", "20000"));
    REQUIRE(watched.waitFor("id: 2\n"));
    const auto begin = std::chrono::steady_clock::now();
    fleet.router(0).process->signal(SIGTERM);
    CHECK(fleet.router(0).process->wait() == 0);
    // The test fleet sets `stopSeconds` to 6.
    CHECK(std::chrono::steady_clock::now() - begin < 6000ms);
    CHECK(!watched.finish().isComplete());
}

TEST_CASE("Requests are served after the router that places them was killed or suspended")
{
    auto options = RouterFleet::Options {};
    options.routers = 3;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    const auto signal = GENERATE(SIGKILL, SIGSTOP);
    for (auto victim = std::size_t { 0 }; victim < 2; ++victim) {
        fleet.router(victim).process->signal(signal);
        std::this_thread::sleep_for(600ms);
        const auto answer = call(fleet.router(2).callers, RouterFleet::stream("stream", 5));
        CHECK(answer.status == 200);
        CHECK(answer.isComplete());
    }
    if (signal == SIGSTOP) {
        for (auto victim = std::size_t { 0 }; victim < 2; ++victim)
            fleet.router(victim).process->signal(SIGCONT);
    }
}
