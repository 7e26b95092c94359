#include "placementcoordinator.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "peerframe.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

constexpr auto routerCount = std::size_t { 4 };

auto configuration() -> FleetConfiguration
{
    auto made = FleetConfiguration {};
    made.version = 1;
    auto service = ServiceDeclaration {};
    service.name = "model";
    service.engine = EngineTraits { 4, 0, 0 };
    made.services.push_back(service);
    return made;
}

/** Coordinators of several routers that exchange frames; routers can be disconnected. */
struct CoordinatorFleet {
    CoordinatorFleet()
    {
        for (auto index = std::size_t { 0 }; index < 2; ++index) {
            auto entry = UpstreamEntry {};
            entry.name = "engine-" + std::to_string(index);
            entry.service = idOf<ServiceId>("model");
            entry.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(8000 + index) };
            entry.slots = 4;
            upstreams.push_back(entry);
        }
        for (auto index = std::uint64_t { 1 }; index <= routerCount; ++index) {
            all.push_back({ RouterId { index }, 1 });
            coordinators.emplace(RouterId { index }, PlacementCoordinator(RouterId { index }, {}));
            coordinators.at(RouterId { index }).setFleet(now, *table, upstreams);
        }
        setLive(all);
    }

    auto setLive(const std::vector<LiveRouter>& live) -> void
    {
        for (auto& [id, coordinator] : coordinators)
            coordinator.setRouters(now, { live, live.size(), routerCount });
        now += 100ms;
        deliverAll();
    }

    auto requestPlacement(RouterId router, std::uint64_t number) -> void
    {
        auto placement = PeerPlacementRequest {};
        placement.request.key.number = number;
        placement.request.service = idOf<ServiceId>("model");
        placement.request.organisation = { 1 };
        placement.request.prompt.tokens = 10;
        placement.goalLeft = 800ms;
        placement.deadlineLeft = 5s;
        coordinators.at(router).requestPlacement(now, std::move(placement));
        deliverAll();
    }

    auto report(RouterId router, std::uint64_t number, PeerReportKind kind) -> void
    {
        coordinators.at(router).report(
            now, { number, idOf<ServiceId>("model"), kind, PlacementEnd::Finished });
        deliverAll();
    }

    /** Places waiting requests, and encodes, decodes and delivers frames until none are left. */
    auto deliverAll() -> void
    {
        auto busy = true;
        while (busy) {
            busy = false;
            for (auto& [from, coordinator] : coordinators) {
                if (disconnected.contains(from))
                    continue;
                coordinator.placeWaiting(now);
                auto outputs = coordinator.takeOutputs();
                for (const auto& decision : outputs.placementDecisions)
                    placementDecisions[from].push_back(decision);
                for (const auto& [to, frame] : outputs.frames) {
                    if (disconnected.contains(to))
                        continue;
                    const auto bytes = encodePeerFrame(frame);
                    coordinators.at(to).handleFrame(now, from, decodePeerFrame(bytes).value());
                    busy = true;
                }
            }
        }
    }

    auto placer() const -> RouterId { return placerOf(idOf<ServiceId>("model"), all); }
    auto other() const -> RouterId
    {
        return std::ranges::find_if(all, [this](const LiveRouter& live) {
            return live.router != placer();
        })->router;
    }

    Time now { 100s };
    std::shared_ptr<const RouteTable> table = RouteTable::build(configuration());
    UpstreamList upstreams;
    std::vector<LiveRouter> all;
    std::map<RouterId, PlacementCoordinator> coordinators;
    std::set<RouterId> disconnected;
    std::map<RouterId, std::vector<PeerPlacementDecision>> placementDecisions;
};

} // namespace

TEST_CASE("One router places the requests of all routers within the engines' slots")
{
    auto fleet = CoordinatorFleet {};
    for (auto number = std::uint64_t { 1 }; number <= 3; ++number) {
        for (const auto& live : fleet.all) {
            fleet.requestPlacement(live.router, number);
            fleet.report(live.router, number, PeerReportKind::Started);
        }
    }
    auto placed = std::size_t { 0 };
    for (const auto& [router, placementDecisions] : fleet.placementDecisions)
        placed += placementDecisions.size();
    CHECK(placed == 8);
    CHECK(fleet.coordinators.at(fleet.placer()).waiting() == 4);
    fleet.report(RouterId { 1 }, 1, PeerReportKind::Ended);
    CHECK(fleet.coordinators.at(fleet.placer()).waiting() == 3);
}

TEST_CASE("When the placing router is lost, its successor adopts running requests and places waiting ones")
{
    auto fleet = CoordinatorFleet {};
    const auto lost = fleet.placer();
    const auto entry = fleet.other();
    for (auto number = std::uint64_t { 1 }; number <= 10; ++number) {
        fleet.requestPlacement(entry, number);
        fleet.report(entry, number, PeerReportKind::Started);
    }
    REQUIRE(fleet.placementDecisions[entry].size() == 8);

    fleet.disconnected.insert(lost);
    auto live = fleet.all;
    std::erase_if(live, [lost](const LiveRouter& candidate) { return candidate.router == lost; });
    fleet.setLive(live);
    // One of four routers is unreachable: a quarter of the slots stays reserved for it.
    CHECK(fleet.placementDecisions[entry].size() == 8);
    for (auto number = std::uint64_t { 1 }; number <= 5; ++number)
        fleet.report(entry, number, PeerReportKind::Ended);
    CHECK(fleet.placementDecisions[entry].size() > 8);
}

TEST_CASE("A placement decision of a former placer is ignored and its slot released")
{
    auto fleet = CoordinatorFleet {};
    const auto former = fleet.placer();
    const auto entry = fleet.other();
    fleet.requestPlacement(entry, 1);
    REQUIRE(fleet.placementDecisions[entry].size() == 1);
    auto stale = PeerFrame {};
    stale.placementDecisions.push_back(
        { 1, idOf<ServiceId>("model"), fleet.upstreams[0].id(), std::nullopt, RefusalReason {}, 0ms, {} });
    fleet.coordinators.at(entry).handleFrame(fleet.now, former, stale);
    CHECK(fleet.coordinators.at(entry).takeOutputs().placementDecisions.empty());

    fleet.coordinators.at(entry).handleFrame(fleet.now, former, stale);
    const auto outputs = fleet.coordinators.at(entry).takeOutputs();
    REQUIRE(outputs.frames.contains(former));
    REQUIRE(outputs.frames.at(former).reports.size() == 1);
    CHECK(outputs.frames.at(former).reports.front().end == PlacementEnd::Cancelled);
}

TEST_CASE("Services are distributed over the routers in proportion to their processor shares")
{
    auto routers = std::vector<LiveRouter> { { RouterId { 1 }, 0.25 }, { RouterId { 2 }, 0.25 },
        { RouterId { 3 }, 0.5 } };
    auto counts = std::map<std::uint64_t, int> {};
    for (auto service = std::uint64_t { 0 }; service < 8000; ++service)
        ++counts[placerOf(idOf<ServiceId>(std::to_string(service)), routers).value];
    CHECK(std::abs(counts[3] - 4000) < 300);
    CHECK(std::abs(counts[1] - 2000) < 300);
    // The loss of another router does not change the owner of a service.
    const auto service = idOf<ServiceId>("x");
    const auto owner = placerOf(service, routers);
    std::erase_if(
        routers, [owner](const LiveRouter& live) { return live.router != owner && live.router.value < 3; });
    CHECK(placerOf(service, routers) == owner);
}

TEST_CASE(
    "A frame is decoded as it was encoded, empty input is refused and corrupted bytes are handled safely")
{
    auto frame = PeerFrame {};
    frame.hello = PeerHello { "10.0.0.1:7", 9, 0.25 };
    frame.members = { "10.0.0.2:7" };
    frame.heartbeat = PeerHeartbeat { 5, 6, true, true };
    auto placement = PeerPlacementRequest {};
    placement.request.key.number = 3;
    placement.request.prompt.parts = { { 1, 2 }, { 3, 4 } };
    placement.request.avoid = { UpstreamId { 8 } };
    placement.goalLeft = -5ms;
    placement.runningAt = UpstreamId { 4 };
    frame.placementRequests.push_back(placement);
    frame.directory = DirectoryPage { true, 1, 2, { { "a", "x", 1 }, { "b", std::nullopt, 2 } } };
    frame.configuration = "{}";
    frame.wantsDirectory = true;
    auto bytes = encodePeerFrame(frame);
    const auto decoded = decodePeerFrame(bytes);
    REQUIRE(decoded);
    const auto& received = decoded.value();
    CHECK(received.hello->endpoint == "10.0.0.1:7");
    CHECK(received.heartbeat->leaving);
    REQUIRE(received.placementRequests.size() == 1);
    CHECK(received.placementRequests[0].request.prompt.parts[1].tokens == 4);
    CHECK(received.placementRequests[0].goalLeft == -5ms);
    CHECK(received.placementRequests[0].runningAt == UpstreamId { 4 });
    CHECK(received.directory->records[1].value == std::nullopt);
    CHECK(received.configuration == "{}");
    CHECK(received.wantsDirectory);

    CHECK(!decodePeerFrame(std::span<const std::uint8_t> {}));
    for (auto size = std::size_t { 0 }; size < bytes.size(); size += 3)
        static_cast<void>(decodePeerFrame(std::span(bytes).first(size)));
    for (auto index = std::size_t { 0 }; index < bytes.size(); ++index) {
        auto corrupted = bytes;
        corrupted[index] ^= 0xffU;
        static_cast<void>(decodePeerFrame(corrupted));
    }
}

TEST_CASE("The placer learns from any router that an engine leaves, and places nothing there")
{
    auto fleet = CoordinatorFleet();
    const auto leaving = fleet.upstreams[0].process();
    fleet.coordinators.at(fleet.other())
        .reportAvailability(fleet.now, { idOf<ServiceId>("model"), leaving, true, 0ms });
    fleet.deliverAll();
    for (auto number = std::uint64_t { 1 }; number <= 3; ++number) {
        for (const auto& live : fleet.all)
            fleet.requestPlacement(live.router, number);
    }
    auto placed = 0;
    for (const auto& [router, decisions] : fleet.placementDecisions) {
        for (const auto& decision : decisions) {
            CHECK(decision.upstream != leaving.upstream);
            placed += decision.upstream ? 1 : 0;
        }
    }
    CHECK(placed == 4);
}

TEST_CASE("The placer keeps an engine's rest to the router that the engine has told")
{
    auto fleet = CoordinatorFleet();
    const auto told = fleet.other();
    // The one that is preferred while both are idle.
    const auto resting
        = std::min(fleet.upstreams[0], fleet.upstreams[1], [](const auto& one, const auto& two) {
              return one.id() < two.id();
          }).process();
    fleet.coordinators.at(told).reportAvailability(
        fleet.now, { idOf<ServiceId>("model"), resting, false, 60s });
    fleet.deliverAll();
    fleet.requestPlacement(told, 1);
    for (const auto& live : fleet.all)
        fleet.requestPlacement(live.router, 2);
    auto ofOthers = 0;
    for (const auto& [router, decisions] : fleet.placementDecisions) {
        for (const auto& decision : decisions) {
            const auto isAtResting = decision.upstream == resting.upstream;
            CHECK((router != told || !isAtResting));
            ofOthers += isAtResting ? 1 : 0;
        }
    }
    CHECK(ofOthers > 0);
}
