#include "fleettable.h"

#include <catch2/catch.hpp>

#include "fleetcomparison.h"

using namespace camphorshunt;
using namespace camphorshunt::ctl;

namespace {

const auto first = std::string("10.0.0.1:7000");
const auto second = std::string("10.0.0.20:7000");

auto linkTo(const std::string& address) -> FleetReport::Link
{
    auto link = FleetReport::Link {};
    link.address = address;
    link.router = idOf<RouterId>(address);
    link.failureDomain = hashName("zone-b");
    link.isHub = true;
    link.isConnected = true;
    link.isResponsive = true;
    link.lastHeard = std::chrono::milliseconds(80);
    link.interval = std::chrono::milliseconds(120);
    return link;
}

auto reportOf(const std::string& address, const std::string& other) -> FleetReport
{
    auto report = FleetReport {};
    report.address = address;
    report.failureDomain = address == first ? "zone-a" : "zone-b";
    report.isHub = true;
    report.reachesStore = true;
    report.liveRouters = 2;
    report.configurationVersion = 7;
    report.storeReader = idOf<RouterId>(first);
    report.feed = report.storeReader;
    report.placers = { { "model", idOf<RouterId>(second) } };
    report.links = { linkTo(other) };
    return report;
}

auto twoViews() -> std::vector<RouterView>
{
    return { { { "10.0.0.1", 9100 }, reportOf(first, second) },
        { { "10.0.0.20", 9100 }, reportOf(second, first) } };
}

auto onlyDifference(std::span<const RouterView> views) -> std::string
{
    const auto lines = fleetDifferences(views);
    REQUIRE(lines.size() == 1);
    return lines.front();
}

} // namespace

TEST_CASE("Views that agree need no attention")
{
    CHECK(fleetDifferences(twoViews()).empty());
    CHECK(fleetTable(twoViews()).find("attention") == std::string::npos);
}

TEST_CASE("Routers that name different placers are both named, with what each says")
{
    auto views = twoViews();
    views[1].report.value().placers[0].router = idOf<RouterId>(first);
    const auto line = onlyDifference(views);
    CHECK(line.find("placer of model") != std::string::npos);
    CHECK(line.find(first + " according to " + second) != std::string::npos);
    CHECK(line.find(second + " according to " + first) != std::string::npos);
}

TEST_CASE("A service that one router does not know yet is no difference of placers")
{
    auto views = twoViews();
    views[1].report.value().placers.clear();
    CHECK(fleetDifferences(views).empty());
}

TEST_CASE("A router with an older configuration is named, and not the ones with the newest")
{
    auto views = twoViews();
    views[1].report.value().configurationVersion = 6;
    CHECK(onlyDifference(views) == "configuration 6 instead of 7 is in force on " + second);
}

TEST_CASE("A silent link, a lost one and one never made are told apart")
{
    auto views = twoViews();
    auto& link = views[0].report.value().links[0];
    link.isResponsive = false;
    link.lastHeard = std::chrono::milliseconds(900);
    CHECK(onlyDifference(views)
        == first + " does not hear " + second + ": last heard 900 ms ago, expected every 120 ms");
    link.isConnected = false;
    CHECK(onlyDifference(views).find("has no connection to " + second) != std::string::npos);
    link.lastHeard = std::nullopt;
    CHECK(onlyDifference(views).find("never heard") != std::string::npos);
}

TEST_CASE("A router whose scheduler stands still or that has no store needs attention")
{
    auto views = twoViews();
    views[0].report.value().age = std::chrono::milliseconds(9000);
    CHECK(onlyDifference(views).find("9000 ms old") != std::string::npos);
    views[0].report.value().age = {};
    views[1].report.value().reachesStore = false;
    CHECK(onlyDifference(views) == second + " does not reach the store");
}

TEST_CASE("A router that gives no view is named by the address that was asked, with the reason")
{
    auto views = twoViews();
    views[1].report = failure(Error::Code::Unavailable, {}, "no answer");
    CHECK(onlyDifference(views) == "10.0.0.20:9100 gives no view: no answer");
    CHECK(fleetJson(views).find(R"("error":"no answer")") != std::string::npos);
}

TEST_CASE("Hundreds of routers that differ make one line of bounded length")
{
    auto views = std::vector<RouterView> {};
    for (auto number = 0; number < 300; ++number) {
        const auto address = "10.1." + std::to_string(number) + ".1:7000";
        views.push_back({ { "10.1.0.1", 9100 }, reportOf(address, first) });
        views.back().report.value().configurationVersion = number == 0 ? 8 : 7;
    }
    CHECK(onlyDifference(views).size() < 200);
}

TEST_CASE("The columns of the table are aligned, and links have names where a view tells them")
{
    const auto views = twoViews();
    const auto text = fleetTable(std::span(views).first(1));
    CHECK(text.find("link            domain ") != std::string::npos);
    CHECK(text.find("10.0.0.20:7000  " + std::to_string(hashName("zone-b")) + "  yes  yes        yes")
        != std::string::npos);
    CHECK(text.find("store reader     10.0.0.1:7000   1") != std::string::npos);
    CHECK(text.find("feed: " + first) != std::string::npos);
    CHECK(RouterNames(views).failureDomain(hashName("zone-b")) == "zone-b");
    for (auto at = text.find('\n'); at != std::string::npos; at = text.find('\n', at + 1))
        CHECK((at == 0 || text[at - 1] != ' '));
}
