#include "fleetcontrol.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "clock.h"
#include "fleetdescription.h"

// Heartbeats, liveness, and who holds roles.

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

/** Batching period for changes of the hubs and standby routers, which are frequent while a fleet starts. */
constexpr auto announcementInterval = Duration(250ms);
const auto readerRole = idOf<ServiceId>("store reader");

} // namespace

auto FleetControl::heartbeat() const -> PeerHeartbeat
{
    const auto& fleet = sync_.fleet();
    return { fleet.version(), fleet.directoryEnd().value_or(0), sync_.isStoreReachable(), draining_,
        fleet.directoryEra(), fleet.evacuations().position() };
}

auto FleetControl::sendHeartbeat(Time now, RouterId router, Duration interval, std::size_t routers) -> void
{
    auto frame = PeerFrame {};
    frame.heartbeat = heartbeat();
    auto presence = PeerPresence {};
    presence.routers = static_cast<std::uint32_t>(routers);
    presence.interval = inMilliseconds(interval);
    presence.configurationAge = inMilliseconds(sync_.configurationAge(now));
    presence.dependsOnReceiver = peers_.needsHeartbeats(router);
    frame.presence = presence;
    sendDated(now, router, frame);
}

auto FleetControl::sendDueHeartbeats(Time now) -> void
{
    const auto routers = peers_.liveCount() + 1;
    for (const auto& [router, interval] : peers_.takeDueHeartbeats(now, plan_.hubs(), plan_.self()))
        sendHeartbeat(now, router, interval, routers);
    metrics_.setWaiting(placement_.waiting());
}

auto FleetControl::sendHeartbeats(Time now) -> void
{
    peers_.hastenHeartbeats();
    sendDueHeartbeats(now);
}

auto FleetControl::sendDated(Time now, RouterId router, PeerFrame& frame) -> void
{
    frame.clock = peers_.clockFor(now, router);
    handlers_.send(router, frame);
}

auto FleetControl::sendUpdate(Time now, PeerFrame frame, bool withHubs) -> void
{
    for (const auto router : peers_.updateTargets(plan_.hubs(), withHubs))
        sendDated(now, router, frame);
}

auto FleetControl::announceCandidates(Time now) -> void
{
    if (now < nextAnnouncement_)
        return;
    nextAnnouncement_ = now + announcementInterval;
    auto frame = PeerFrame {};
    frame.addresses = plan_.takeNewCandidates();
    if (frame.addresses.empty() || !plan_.hubs().isHub(plan_.self()))
        return;
    for (const auto router : peers_.connectedRouters())
        handlers_.send(router, frame);
}

auto FleetControl::roleCandidates(Time now) const -> std::vector<LiveRouter>
{
    auto candidates = peers_.live(plan_.hubs());
    const auto mayHoldRoles = !draining_ && now >= rejoinAt_ && plan_.hubs().isHub(plan_.self());
    if (mayHoldRoles || candidates.empty())
        candidates.push_back({ plan_.self(), plan_.hello().processorShare, plan_.hello().failureDomain });
    return candidates;
}

auto FleetControl::routersChanged(Time now) -> void
{
    const auto candidates = roleCandidates(now);
    const auto live = peers_.liveHubs(plan_.hubs()) + (draining_ ? 0 : 1);
    placement_.setRouters(
        now, { candidates, std::max<std::size_t>(live, 1), live + peers_.missingHubs(now) });
    electReader(candidates);
    updateDependencies(now, candidates);
    const auto fleetSize = peers_.fleetSize();
    metrics_.setRouters(fleetSize);
    if (std::exchange(fleetSize_, fleetSize) != fleetSize)
        relayChanged(now);
}

auto FleetControl::electReader(std::span<const LiveRouter> candidates) -> void
{
    auto readers = std::vector<LiveRouter> {};
    std::ranges::copy_if(candidates, std::back_inserter(readers), [this](const LiveRouter& candidate) {
        return candidate.router == plan_.self() ? sync_.isStoreReachable()
                                                : peers_.reachesStore(candidate.router);
    });
    const auto reader = readers.empty() ? plan_.self() : placerOf(readerRole, readers);
    if (reader != reader_) {
        reader_ = reader;
        log_.write(LogLevel::Info, "store-reader",
            { { "router", std::to_string(reader.value) }, { "self", isReader() ? "true" : "false" },
                { "live", std::to_string(candidates.size()) } });
    }
}

auto FleetControl::chooseFeed(std::span<const LiveRouter> candidates) const -> RouterId
{
    if (plan_.hubs().isHub(plan_.self()) || isReader())
        return reader_;
    auto own = std::vector<LiveRouter> {};
    std::ranges::copy_if(candidates, std::back_inserter(own), [this](const LiveRouter& candidate) {
        return candidate.failureDomain == plan_.hello().failureDomain;
    });
    // Spreads the routers of a failure domain over its hubs.
    return placerOf(
        ServiceId { plan_.self().value }, own.empty() ? candidates : std::span<const LiveRouter>(own));
}

auto FleetControl::updateDependencies(Time now, std::span<const LiveRouter> candidates) -> void
{
    const auto feed = chooseFeed(candidates);
    sync_.setFeed(feed, isReader());
    auto needed = placement_.placers();
    needed.insert(feed);
    const auto routers = peers_.liveCount() + 1;
    for (const auto router : peers_.setDependencies(now, needed))
        sendHeartbeat(now, router, PeerTable::rareInterval, routers);
}

auto FleetControl::describe(Time now, FleetReport& report) const -> void
{
    report.isDraining = draining_;
    report.storeReader = reader_;
    describeFleet(now, { plan_.hubs(), peers_, sync_, placement_ }, report);
}

auto FleetControl::checkLiveness(Time now) -> void
{
    const auto change = peers_.checkSilence(now);
    for (const auto& [router, silence] : change.silent) {
        log_.write(LogLevel::Warning, "peer-silent",
            { { "router", std::to_string(router.value) },
                { "ms", std::to_string(inMilliseconds(silence).count()) } });
        plan_.setResponsive(now, router, false);
    }
    if (change.dependencyLost) {
        const auto routers = peers_.liveCount() + 1;
        for (const auto router : peers_.probeCandidates(now, plan_.hubs()))
            sendHeartbeat(now, router, PeerTable::rareInterval, routers);
    }
    if (change.others || !change.silent.empty())
        routersChanged(now);
}

} // namespace camphorshunt::router
