#include "routerfleet.h"

#include <signal.h>
#include <thread>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

constexpr auto engineCount = std::size_t { 6 };
constexpr auto crashesUntilQuarantine = std::size_t { 3 };

auto crashingFleet(std::size_t routers) -> RouterFleet::Options
{
    auto options = RouterFleet::Options {};
    options.routers = routers;
    options.engines = engineCount;
    options.engineFlags = { "--slots=8", "--token_ms=5", "--crash_part=dead" };
    return options;
}

auto callWith(RouterFleet& fleet, std::size_t router, std::string_view parts) -> Answer
{
    static auto last = 0;
    const auto prefix = std::string(parts) + "," + std::to_string(++last) + ":50";
    return call(fleet.router(router).callers,
        withHeader(RouterFleet::stream("stream", 5), "X-Prompt-Prefix", prefix));
}

auto callCrashing(RouterFleet& fleet, std::size_t router) -> Answer
{
    return callWith(fleet, router, "5c1e07a2:300,dead:100");
}

auto callSound(RouterFleet& fleet, std::size_t router) -> Answer
{
    return callWith(fleet, router, "5c1e07a2:300,b0b:100");
}

auto crashes(RouterFleet& fleet) -> std::size_t
{
    auto count = std::size_t { 0 };
    for (auto index = std::size_t { 0 }; index < engineCount; ++index)
        count += fleet.upstream(index).process->isRunning() ? 0 : 1;
    return count;
}

auto isQuarantined(const Answer& answer) -> bool
{
    return answer.status == 503 && isOwn(answer) && std::stod(std::string(answer.header("Retry-After"))) > 1;
}

} // namespace

TEST_CASE("A prompt part under which engines crash is refused by all routers, also once its placer is lost")
{
    auto fleet = RouterFleet(crashingFleet(2));
    REQUIRE(fleet.awaitReady());
    for (auto round = std::size_t { 0 }; round < 12; ++round) {
        callCrashing(fleet, round % 2);
        // The placer learns how a request has ended within some milliseconds.
        std::this_thread::sleep_for(50ms);
    }
    CHECK(crashes(fleet) == crashesUntilQuarantine);
    for (const auto router : { 0U, 1U }) {
        CHECK(isQuarantined(callCrashing(fleet, router)));
        CHECK(callSound(fleet, router).isComplete());
    }
    const auto placer = fleet.metric(0, "router_services_placed") > 0 ? std::size_t { 0 } : std::size_t { 1 };
    const auto ended = crashes(fleet);
    fleet.router(placer).process->kill();
    std::this_thread::sleep_for(1s);
    CHECK(isQuarantined(callCrashing(fleet, 1 - placer)));
    const auto sound = callSound(fleet, 1 - placer);
    CAPTURE(sound.body);
    CHECK(sound.status == 200);
    CHECK(crashes(fleet) == ended);
}

TEST_CASE("A prompt part under which engines crash is refused after all routers were killed at once")
{
    auto fleet = RouterFleet(crashingFleet(2));
    REQUIRE(fleet.awaitReady());
    while (!isQuarantined(callCrashing(fleet, 0)))
        std::this_thread::sleep_for(50ms);
    const auto ended = crashes(fleet);
    // The quarantine is stored some milliseconds after it began.
    std::this_thread::sleep_for(500ms);
    for (const auto router : { 0U, 1U })
        fleet.router(router).process->kill();
    for (const auto router : { 0U, 1U })
        fleet.startRouter(router);
    REQUIRE(fleet.awaitReady());
    std::this_thread::sleep_for(1500ms);
    CHECK(isQuarantined(callCrashing(fleet, 0)));
    CHECK(isQuarantined(callCrashing(fleet, 1)));
    CHECK(crashes(fleet) == ended);
}

TEST_CASE("A request under which two upstreams have broken off is not sent to a third one")
{
    auto options = RouterFleet::Options {};
    options.plain = 4;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto configuration = RouterFleet::configuration(3);
    for (auto& route : configuration["routes"].as_array())
        route.as_object()["attempts"] = 4;
    fleet.putConfiguration(boost::json::serialize(configuration));
    REQUIRE(eventually([&] { return fleet.metric(0, "router_configuration_version") == 3; }));
    for (auto index = options.engines; index < options.engines + options.plain; ++index)
        fleet.fault(index, R"({"mode":"lost-ack"})");
    CHECK(call(fleet.router(0).callers, RouterFleet::request("plain")).status == 502);
    CHECK(fleet.totalRuns() == 2);
}
