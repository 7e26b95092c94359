#include "routerfleet.h"

#include <array>
#include <signal.h>

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt::test;

namespace {

namespace json = boost::json;

struct ToolRun {
    int code = 0;
    std::string output;
};

auto runFleetCommand(const std::vector<std::string>& addresses) -> ToolRun
{
    auto arguments = std::vector<std::string> { "fleet" };
    arguments.insert(arguments.end(), addresses.begin(), addresses.end());
    auto tool = ChildProcess("camphorshuntctl", arguments);
    auto output = tool.readAll();
    return { tool.wait(), std::move(output) };
}

} // namespace

TEST_CASE("The fleet command shows a paused router as silent for the others, and fails as it gives no view")
{
    auto options = RouterFleet::Options {};
    options.routers = 3;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto addresses = std::vector<std::string> {};
    for (auto index = std::size_t { 0 }; index < 3; ++index)
        addresses.push_back(fleet.router(index).metrics.text());

    auto run = ToolRun {};
    REQUIRE(eventually([&] {
        run = runFleetCommand(addresses);
        return run.code == 0 && run.output.find("needs attention") == std::string::npos;
    }));
    INFO(run.output);
    for (auto index = std::size_t { 0 }; index < 3; ++index)
        CHECK(run.output.find(fleet.router(index).peers.text()) != std::string::npos);
    CHECK(run.output.find("placer of model") != std::string::npos);
    CHECK(fleet.metric(0, "router_hub") == 1);
    CHECK(fleet.metric(0, "router_links") == 2);
    CHECK(eventually([&] {
        auto roles = 0.0;
        for (auto index = std::size_t { 0 }; index < 3; ++index)
            roles += fleet.metric(index, "router_roles");
        return roles == 2;
    }));

    fleet.router(2).process->signal(SIGSTOP);
    const auto silent = " does not hear " + fleet.router(2).peers.text();
    CHECK(eventually([&] {
        run = runFleetCommand(addresses);
        return run.output.find(fleet.router(0).peers.text() + silent) != std::string::npos
            && run.output.find(fleet.router(1).peers.text() + silent) != std::string::npos;
    }));
    INFO(run.output);
    CHECK(run.code == 1);
    CHECK(run.output.find(addresses[2] + " gives no view: no answer") != std::string::npos);

    CHECK(eventually([&] { return fleet.metric(0, "router_links_silent") == 1; }));

    addresses.emplace_back("--json");
    const auto answer = json::parse(runFleetCommand(addresses).output);
    const auto& routers = answer.at("routers").as_array();
    REQUIRE(routers.size() == 3);
    CHECK(routers[0].at("fleet").at("silentLinks") == 1);
    CHECK(routers[2].as_object().contains("error"));
    fleet.router(2).process->signal(SIGCONT);
}

TEST_CASE("The fleet command refuses bad arguments with code 2, and a router that is gone with code 1")
{
    CHECK(runFleetCommand({}).code == 2);
    CHECK(runFleetCommand({ "router-1" }).code == 2);
    CHECK(runFleetCommand({ "127.0.0.1:9", "127.0.0.1:70000" }).code == 2);
    CHECK(runFleetCommand({ "127.0.0.1:9" }).code == 1);
}
