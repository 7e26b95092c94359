#include "camphorshunt/fleetreport.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "fleetdescription.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

constexpr auto now = Time { Duration(100s) };
/** A report of a hub fits well into one answer. */
constexpr auto maxJsonBytes = std::size_t { 32 } * 1024;

auto addressOf(std::size_t number) -> RouterAddress
{
    return { "10.0." + std::to_string(number / 250) + '.' + std::to_string(number % 250 + 1) + ":7000", 0.12,
        1 + number % 3 };
}

auto idOfNumber(std::size_t number) -> RouterId { return idOf<RouterId>(addressOf(number).endpoint); }

/** What a router knows that is connected to all others of a fleet. */
struct ConnectedRouter {
    explicit ConnectedRouter(std::size_t fleet)
    {
        for (auto number = std::size_t { 1 }; number < fleet; ++number) {
            const auto address = addressOf(number);
            hubs.learn(address);
            hubs.setConnected(idOfNumber(number), true);
            peers.connected(now, idOfNumber(number),
                { address.endpoint, 1, address.processorShare, address.failureDomain });
        }
    }

    auto reportAt(Time time) const -> FleetReport
    {
        auto report = FleetReport {};
        describeLinks(time, hubs, peers, report);
        return report;
    }

    HubRegistry hubs { addressOf(0) };
    PeerTable peers;
};

auto fullReport() -> FleetReport
{
    auto report = FleetReport {};
    report.address = "10.0.0.1:7000";
    report.failureDomain = "zone \"a\"";
    report.isHub = true;
    report.reachesStore = true;
    report.liveRouters = 3;
    report.configurationVersion = ~std::uint64_t {};
    report.configurationAge = 120ms;
    report.directoryOffset = 77;
    report.storeReader = report.router();
    report.feed = { ~std::uint64_t {} };
    report.placers = { { "model", report.router() }, { "other", { 5 } } };
    report.evacuations = { { "zone-b", 700ms } };
    report.links = { { "10.0.0.2:7000", { 5 }, ~std::uint64_t {}, true, true, true, 90ms, 120ms },
        { {}, { 6 }, 0, false, false, false, std::nullopt, 1000ms } };
    report.linksLeftOut = 9;
    report.silentLinks = 4;
    report.age = 300ms;
    return report;
}

} // namespace

TEST_CASE("The report of a hub of a thousand routers is bounded, and names hubs and silent routers first")
{
    auto router = ConnectedRouter(1000);
    const auto silent = idOfNumber(777);
    router.peers.lost(silent);
    const auto report = router.reportAt(now + 50ms);
    REQUIRE(report.links.size() == maxReportedLinks);
    CHECK(report.linksLeftOut == 999 - maxReportedLinks);
    CHECK(report.silentLinks == 1);
    const auto hubs = std::ranges::count(report.links, true, &FleetReport::Link::isHub);
    CHECK(std::size_t(hubs) + (router.hubs.isHub(idOfNumber(0)) ? 1U : 0U) == HubRegistry::maxHubs);
    const auto found = std::ranges::find(report.links, silent, &FleetReport::Link::router);
    REQUIRE(found != report.links.end());
    CHECK(!found->isConnected);
    CHECK(report.json().size() < maxJsonBytes);
}

TEST_CASE("The report tells a paused router from one whose connection was lost and one never reached")
{
    auto router = ConnectedRouter(3);
    const auto paused = idOfNumber(1);
    const auto lost = idOfNumber(2);
    const auto never = idOfNumber(3);
    router.hubs.learn(addressOf(3));
    router.hubs.setReachable(now, never, false);
    router.peers.lost(lost);
    const auto time = now + 500ms;
    router.peers.checkSilence(time);
    const auto report = router.reportAt(time);
    const auto linkOf = [&report](RouterId id) {
        const auto found = std::ranges::find(report.links, id, &FleetReport::Link::router);
        REQUIRE(found != report.links.end());
        return *found;
    };
    CHECK(linkOf(paused).isConnected);
    CHECK(!linkOf(paused).isResponsive);
    CHECK(linkOf(paused).lastHeard == std::optional(500ms));
    CHECK(linkOf(paused).interval == 120ms);
    CHECK(linkOf(paused).failureDomain == addressOf(1).failureDomain);
    CHECK(!linkOf(lost).isConnected);
    CHECK(!linkOf(never).isConnected);
    CHECK(!linkOf(never).lastHeard);
    CHECK(linkOf(never).address == addressOf(3).endpoint);
}

TEST_CASE("A report of the fleet reads back as written, with identifiers above 53 bits and missing ages")
{
    const auto report = fullReport();
    const auto parsed = FleetReport::parse(report.json());
    REQUIRE(parsed);
    const auto& read = parsed.value();
    CHECK(read.json() == report.json());
    CHECK(read.configurationVersion == report.configurationVersion);
    CHECK(read.feed == report.feed);
    REQUIRE(read.evacuations.size() == 1);
    CHECK(read.evacuations[0].domain == "zone-b");
    CHECK(read.evacuations[0].age == 700ms);
    CHECK(!read.directoryAge);
    REQUIRE(read.links.size() == 2);
    CHECK(read.links[0].failureDomain == ~std::uint64_t {});
    CHECK(!read.links[1].lastHeard);
    CHECK(read.rolesHeld() == std::vector<std::string> { "store reader", "placer of model" });
}

TEST_CASE("A report of the fleet from a newer router is read, and a damaged one is refused with its fault")
{
    auto text = fullReport().json();
    CHECK(FleetReport::parse("{\"later\":[1]," + text.substr(1)));
    const auto refuses = [&text](std::string_view part, std::string_view replacement) {
        auto damaged = text;
        damaged.replace(damaged.find(part), part.size(), replacement);
        const auto parsed = FleetReport::parse(damaged);
        return parsed ? std::string {} : parsed.error().text();
    };
    CHECK(refuses("\"hub\":true", "\"hub\":1").find("hub: must be true or false") != std::string::npos);
    CHECK(refuses("\"router\":\"5\"", "\"router\":\"5x\"").find("router") != std::string::npos);
    CHECK(refuses("\"version\":18446744073709551615", "\"version\":-1").find("configuration.version")
        != std::string::npos);
    CHECK(!FleetReport::parse("router_routers_in_touch 3\n"));
    CHECK(!FleetReport::parse("[]"));
}
