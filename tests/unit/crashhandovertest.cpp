#include <algorithm>
#include <optional>

#include <catch2/catch.hpp>

#include "peerframe.h"
#include "placementcoordinator.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

constexpr auto engineCount = std::size_t { 12 };
constexpr auto crashing = std::uint64_t { 7 };
const auto service = idOf<ServiceId>("model");

auto tableWithService() -> std::shared_ptr<const RouteTable>
{
    auto configuration = FleetConfiguration {};
    configuration.version = 1;
    auto declared = ServiceDeclaration {};
    declared.name = "model";
    declared.engine = EngineTraits { 4, 0, 0 };
    configuration.services.push_back(declared);
    return RouteTable::build(std::move(configuration));
}

/** Routers that place requests in turn; each request with the crashing part ends its engine. */
struct CrashingFleet {
    CrashingFleet()
    {
        for (auto index = std::size_t { 0 }; index < engineCount; ++index) {
            auto entry = UpstreamEntry {};
            entry.name = "engine-" + std::to_string(index);
            entry.service = service;
            entry.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(8000 + index) };
            entry.slots = 4;
            entry.startedAt = 1000ms;
            upstreams.push_back(entry);
        }
        for (auto index = std::uint64_t { 1 }; index <= 4; ++index) {
            live.push_back({ RouterId { index }, 1 });
            start(RouterId { index });
            coordinators.at(RouterId { index }).setFleet(now, *table, upstreams);
        }
        routersChanged();
    }

    auto start(RouterId router) -> void
    {
        coordinators.erase(router);
        coordinators.emplace(router, PlacementCoordinator(router, {}));
    }

    auto placer() const -> RouterId { return placerOf(service, live); }

    auto routersChanged() -> void
    {
        for (const auto& router : live)
            coordinators.at(router.router).setRouters(now, { live, live.size(), live.size() });
        run(100ms);
    }

    auto kill(RouterId router) -> void
    {
        std::erase_if(live, [router](const LiveRouter& other) { return other.router == router; });
        coordinators.erase(router);
        routersChanged();
    }

    /** A request at the router that places; false if it is refused. */
    auto callCrashing() -> bool
    {
        const auto router = placer();
        auto placement = PeerPlacementRequest {};
        placement.request.key.number = ++number;
        placement.request.service = service;
        placement.request.organisation = { 1 };
        placement.request.prompt.parts = { { crashing, 10 }, { 1000 + number, 10 } };
        placement.request.prompt.tokens = 20;
        placement.goalLeft = 800ms;
        placement.deadlineLeft = 5s;
        placed.reset();
        coordinators.at(router).requestPlacement(now, std::move(placement));
        run(50ms);
        if (!placed)
            return false;
        coordinators.at(router).report(now, { number, service, PeerReportKind::Ended, PlacementEnd::Broken });
        restart(*placed);
        run(300ms);
        return true;
    }

    auto restart(UpstreamId engine) -> void
    {
        std::ranges::find(upstreams, engine, &UpstreamEntry::id)->startedAt += 1000ms;
        for (auto& [id, coordinator] : coordinators)
            coordinator.setFleet(now, *table, upstreams);
    }

    auto run(Duration time) -> void
    {
        for (const auto end = now + time; now < end; now += 5ms) {
            for (const auto& router : live) {
                auto& coordinator = coordinators.at(router.router);
                coordinator.placeWaiting(now);
                auto outputs = coordinator.takeOutputs();
                for (const auto& decision : outputs.placementDecisions)
                    placed = decision.upstream;
                for (const auto& [to, frame] : outputs.frames)
                    deliver(to, frame);
                for (const auto& query : outputs.engineQueries)
                    coordinator.recordEngineQuery(now, query, queryResult(query.engine));
                auto frame = PeerFrame {};
                frame.crashes = std::move(outputs.crashes);
                for (const auto& other : live) {
                    if (other.router != router.router)
                        deliver(other.router, frame);
                }
            }
        }
    }

    /** The engine's report, which states the start of the process that runs now. */
    auto queryResult(const UpstreamProcess& engine) const -> EngineQueryResult
    {
        const auto entry = std::ranges::find(upstreams, engine.upstream, &UpstreamEntry::id);
        return { EngineQueryResult::Outcome::Answered, entry->startedAt };
    }

    auto deliver(RouterId to, const PeerFrame& frame) -> void
    {
        const auto read = decodePeerFrame(encodePeerFrame(frame)).value();
        for (const auto& crash : read.crashes)
            coordinators.at(to).applyCrash(now, crash);
        for (const auto& quarantine : read.quarantines)
            coordinators.at(to).applyQuarantine(now, quarantine);
    }

    Time now { 100s };
    std::shared_ptr<const RouteTable> table = tableWithService();
    UpstreamList upstreams;
    std::vector<LiveRouter> live;
    std::map<RouterId, PlacementCoordinator> coordinators;
    std::uint64_t number = 0;
    std::optional<UpstreamId> placed;
};

} // namespace

TEST_CASE("Crashes under a prompt part are remembered when the router that places is lost after each second")
{
    auto fleet = CrashingFleet {};
    auto crashes = 0;
    for (auto round = 0; round < 3; ++round) {
        for (auto call = 0; call < 2; ++call)
            crashes += fleet.callCrashing() ? 1 : 0;
        fleet.kill(fleet.placer());
        fleet.run(600ms);
    }
    CHECK(crashes <= 3);
}

TEST_CASE("A router that starts again and places learns of earlier crashes, also before its configuration")
{
    auto fleet = CrashingFleet {};
    const auto first = fleet.placer();
    CHECK(fleet.callCrashing());
    CHECK(fleet.callCrashing());
    fleet.kill(first);
    fleet.live.push_back({ first, 1 });
    fleet.start(first);
    REQUIRE(fleet.placer() == first);
    fleet.routersChanged();
    fleet.run(100ms);
    fleet.coordinators.at(first).setFleet(fleet.now, *fleet.table, fleet.upstreams);
    fleet.run(600ms);
    CHECK(fleet.callCrashing());
    fleet.run(600ms);
    CHECK_FALSE(fleet.callCrashing());
}

TEST_CASE("A router that is told of a crash forgets it once the engine turns out to live")
{
    auto fleet = CrashingFleet {};
    auto crash = PeerCrash { service, fleet.upstreams.front().process(), { crashing }, 20ms, 10ms };
    for (const auto& router : fleet.live) {
        for (auto index = std::size_t { 0 }; index < 2; ++index) {
            crash.process = fleet.upstreams.at(index).process();
            crash.lives = false;
            fleet.coordinators.at(router.router).applyCrash(fleet.now, crash);
            crash.lives = true;
            fleet.coordinators.at(router.router).applyCrash(fleet.now, crash);
        }
    }
    CHECK(fleet.callCrashing());
    fleet.run(600ms);
    CHECK(fleet.callCrashing());
}
