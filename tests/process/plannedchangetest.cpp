#include "routerfleet.h"

#include <chrono>
#include <csignal>
#include <functional>
#include <thread>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

namespace json = boost::json;

constexpr auto events = std::size_t { 30 };

/** A change of the configuration while requests run and wait. */
struct Change {
    std::string name;
    std::function<void(json::object&)> apply;
};

/** Sets a member of all routes. */
auto setInRoutes(json::object& configuration, std::string_view member, const json::value& value) -> void
{
    for (auto& route : configuration["routes"].as_array())
        route.as_object()[member] = value;
}

auto moveRoutes(json::object& configuration) -> void
{
    for (auto& route : configuration["routes"].as_array()) {
        auto& service = route.as_object()["service"];
        service = service.as_string() == "model" ? "desk" : "model";
    }
}

/** Removes the elements of a list whose member has this value. */
auto removeWhere(json::value& list, std::string_view member, std::string_view value) -> void
{
    auto kept = json::array {};
    for (const auto& element : list.as_array()) {
        if (element.at(member).as_string() != value)
            kept.push_back(element);
    }
    list = std::move(kept);
}

auto removeService(json::object& configuration, std::string_view name) -> void
{
    removeWhere(configuration["services"], "name", name);
    removeWhere(configuration["routes"], "service", name);
}

auto changes() -> std::vector<Change>
{
    return {
        { "no routes", [](json::object& made) { made["routes"] = json::array {}; } },
        { "routes to other services", moveRoutes },
        { "a shorter timeout", [](json::object& made) { setInRoutes(made, "timeout_ms", 200); } },
        { "a shorter idle time",
            [](json::object& made) { made["limits"].as_object()["idle_timeout_ms"] = 100; } },
        { "another key",
            [](json::object& made) {
                made["tenants"].as_array()[0].as_object()["api_keys"] = json::array { "key-other" };
            } },
        { "no model service", [](json::object& made) { removeService(made, "model"); } },
        { "no plain service", [](json::object& made) { removeService(made, "desk"); } },
    };
}

/** A whole answer of an upstream, or a refusal of the router's that is whole. */
auto isWhole(const Answer& answer) -> bool { return answer.isComplete() && answer.status != 0; }

} // namespace

TEST_CASE("A request that runs or waits for a place when the configuration changes gets a whole answer")
{
    auto options = RouterFleet::Options {};
    options.routers = 2;
    // Two thirds of the streams run at once, the others wait or are refused.
    options.engineFlags = { "--slots=8", "--token_ms=20" };
    options.plainFlags = { "--call_ms=500" };
    const auto change = GENERATE(from_range(changes()));
    const auto signal = GENERATE(0, SIGHUP, SIGTERM);
    INFO(change.name << ", signal " << signal);
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto calls = std::vector<std::future<Answer>> {};
    for (const auto* const route : { "plain", "book", "pay" })
        calls.push_back(callAsync(fleet.router(0).callers, RouterFleet::request(route, "POST")));
    for (const auto* const route : { "stream", "resume" }) {
        for (auto index = 0; index < 12; ++index)
            calls.push_back(callAsync(fleet.router(0).callers, RouterFleet::stream(route, events)));
    }
    std::this_thread::sleep_for(150ms);
    auto configuration = RouterFleet::configuration(3);
    change.apply(configuration);
    fleet.putConfiguration(json::serialize(configuration));
    if (signal != 0)
        fleet.router(0).process->signal(signal);
    auto served = 0;
    for (auto& each : calls) {
        const auto answer = each.get();
        INFO(answer.status << " " << answer.body);
        CHECK(isWhole(answer));
        CHECK((answer.status == 200 || answer.status == 503));
        served += answer.status == 200 ? 1 : 0;
    }
    CHECK(served >= 3);
}

TEST_CASE("A stream whose engine leaves the directory, or says that it drains, ends whole")
{
    auto options = RouterFleet::Options {};
    options.engineFlags = { "--slots=8", "--token_ms=20" };
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    const auto isRemoved = GENERATE(false, true);
    auto calls = std::vector<std::future<Answer>> {};
    for (auto index = 0; index < 8; ++index)
        calls.push_back(callAsync(fleet.router(0).callers, RouterFleet::stream("stream", events)));
    std::this_thread::sleep_for(150ms);
    if (isRemoved)
        fleet.put("keyed.servers", fleet.upstream(0).name, "");
    else
        fleet.putUpstream(0, "draining");
    for (auto& each : calls) {
        const auto answer = each.get();
        INFO(answer.status << " " << answer.body);
        CHECK(isWhole(answer));
        CHECK(answer.status == 200);
    }
}
