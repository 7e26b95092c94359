#include "scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "clock.h"
#include "fleetdescription.h"

// The scheduler's part in the fleet: heartbeats, liveness, and who holds roles.

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

/** Batching period for changes of the hubs and standby routers, which are frequent while a fleet starts. */
constexpr auto announcementInterval = Duration(250ms);
constexpr auto fleetReportInterval = Duration(1s);
const auto readerRole = idOf<ServiceId>("store reader");

} // namespace

auto Scheduler::heartbeat() const -> PeerHeartbeat
{
    const auto& fleet = sync_.fleet();
    return { fleet.version(), fleet.directoryEnd().value_or(0), sync_.isStoreReachable(), draining_ };
}

auto Scheduler::sendHeartbeat(RouterId router, Duration interval) -> void
{
    auto frame = PeerFrame {};
    frame.heartbeat = heartbeat();
    auto presence = PeerPresence {};
    presence.routers = static_cast<std::uint32_t>(peers_.liveCount() + 1);
    presence.interval = inMilliseconds(interval);
    presence.configurationAge = inMilliseconds(sync_.configurationAge(steadyNow()));
    presence.dependsOnReceiver = peers_.isDependency(router);
    frame.presence = presence;
    mesh_->send(router, frame);
}

auto Scheduler::sendDueHeartbeats(Time now) -> void
{
    for (const auto& [router, interval] : peers_.takeDueHeartbeats(now, mesh_->hubs(), mesh_->self()))
        sendHeartbeat(router, interval);
    metrics_.setWaiting(placement_->waiting());
}

auto Scheduler::sendHeartbeats() -> void
{
    peers_.hastenHeartbeats();
    sendDueHeartbeats(steadyNow());
}

auto Scheduler::sendUpdate(const PeerFrame& frame, bool withHubs) -> void
{
    for (const auto router : peers_.updateTargets(mesh_->hubs(), withHubs))
        mesh_->send(router, frame);
}

auto Scheduler::announceCandidates(Time now) -> void
{
    if (now < nextAnnouncement_)
        return;
    nextAnnouncement_ = now + announcementInterval;
    auto frame = PeerFrame {};
    frame.addresses = mesh_->takeNewCandidates();
    if (frame.addresses.empty() || !mesh_->hubs().isHub(mesh_->self()))
        return;
    for (const auto router : peers_.connectedRouters())
        mesh_->send(router, frame);
}

auto Scheduler::roleCandidates(Time now) const -> std::vector<LiveRouter>
{
    auto candidates = peers_.live(mesh_->hubs());
    const auto mayHoldRoles = !draining_ && now >= rejoinAt_ && mesh_->hubs().isHub(mesh_->self());
    if (mayHoldRoles || candidates.empty())
        candidates.push_back({ mesh_->self(), settings_.processorShare, hashName(settings_.failureDomain) });
    return candidates;
}

auto Scheduler::routersChanged(Time now) -> void
{
    const auto candidates = roleCandidates(now);
    const auto live = peers_.liveHubs(mesh_->hubs()) + (draining_ ? 0 : 1);
    placement_->setRouters(
        now, { candidates, std::max<std::size_t>(live, 1), live + peers_.missingHubs(now) });
    electReader(candidates);
    updateDependencies(now, candidates);
    const auto fleetSize = peers_.fleetSize();
    metrics_.setRouters(fleetSize);
    if (std::exchange(fleetSize_, fleetSize) != fleetSize)
        relayChanged(now);
}

auto Scheduler::electReader(std::span<const LiveRouter> candidates) -> void
{
    auto readers = std::vector<LiveRouter> {};
    std::ranges::copy_if(candidates, std::back_inserter(readers), [this](const LiveRouter& candidate) {
        return candidate.router == mesh_->self() ? sync_.isStoreReachable()
                                                 : peers_.reachesStore(candidate.router);
    });
    const auto reader = readers.empty() ? mesh_->self() : placerOf(readerRole, readers);
    if (reader != reader_) {
        reader_ = reader;
        log_.write(LogLevel::Info, "store-reader",
            { { "router", std::to_string(reader.value) }, { "self", isReader() ? "true" : "false" },
                { "live", std::to_string(candidates.size()) } });
    }
}

auto Scheduler::chooseFeed(std::span<const LiveRouter> candidates) const -> RouterId
{
    if (mesh_->hubs().isHub(mesh_->self()) || isReader())
        return reader_;
    auto own = std::vector<LiveRouter> {};
    std::ranges::copy_if(candidates, std::back_inserter(own), [this](const LiveRouter& candidate) {
        return candidate.failureDomain == hashName(settings_.failureDomain);
    });
    // Spreads the routers of a failure domain over its hubs.
    return placerOf(
        ServiceId { mesh_->self().value }, own.empty() ? candidates : std::span<const LiveRouter>(own));
}

auto Scheduler::updateDependencies(Time now, std::span<const LiveRouter> candidates) -> void
{
    const auto feed = chooseFeed(candidates);
    sync_.setFeed(feed, isReader());
    auto needed = placement_->placers();
    needed.insert(feed);
    for (const auto router : peers_.setDependencies(now, needed))
        sendHeartbeat(router, PeerTable::rareInterval);
}

auto Scheduler::reportFleet(Time now) -> void
{
    if (now < nextFleetReport_)
        return;
    nextFleetReport_ = now + fleetReportInterval;
    auto report = FleetReport {};
    report.address = settings_.listen.text();
    report.failureDomain = settings_.failureDomain;
    report.isDraining = draining_;
    report.storeReader = reader_;
    describeFleet(now, { mesh_->hubs(), peers_, sync_, *placement_ }, report);
    metrics_.setFleet(report);
    if (onFleetReport_)
        onFleetReport_(std::move(report));
}

auto Scheduler::checkLiveness(Time now) -> void
{
    const auto change = peers_.checkSilence(now);
    for (const auto& [router, silence] : change.silent) {
        log_.write(LogLevel::Warning, "peer-silent",
            { { "router", std::to_string(router.value) },
                { "ms", std::to_string(inMilliseconds(silence).count()) } });
        mesh_->setResponsive(router, false);
    }
    if (change.others || !change.silent.empty())
        routersChanged(now);
}

} // namespace camphorshunt::router
