#include "fleetcontrol.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "clock.h"

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

/** Tick period while requests or frames wait; engines make prefill progress meanwhile. */
constexpr auto busyTick = 5ms;
constexpr auto idleTick = 40ms;
/** Batching period for reports that no request waits for. */
constexpr auto flushInterval = Duration(4ms);
/** A longer time between ticks means that this process was paused. */
constexpr auto maxTickDelay = Duration(300ms);
/** Organisations of a service with a line in the log each time that shares are logged. */
constexpr auto maxSharesLogged = std::size_t { 24 };

template <typename Item> auto append(std::vector<Item>& to, std::vector<Item>& from) -> void
{
    std::ranges::move(from, std::back_inserter(to));
}

} // namespace

FleetControl::FleetControl(
    const Settings& settings, Handlers handlers, RouterLog& log, RouterMetrics& metrics, SharedState& state)
    : handlers_(std::move(handlers))
    , log_(log)
    , metrics_(metrics)
    , state_(state)
    , plan_(settings.self)
    , sync_({ settings.self.endpoint, settings.self.processorShare, settings.self.failureDomain },
          { .send = [this](Time now, RouterId router, PeerFrame frame) { sendDated(now, router, frame); },
              .publish = [this](Time now, PeerFrame frame) { sendUpdate(now, std::move(frame), true); },
              .forward = [this](Time now, PeerFrame frame) { sendUpdate(now, std::move(frame), false); },
              .callStore = [this](SchedulerToStore call) { handlers_.callStore(std::move(call)); },
              .onFleetChanged = [this](Time now) { fleetChanged(now); },
              .onStoreReachabilityChanged =
                  [this](Time now) {
                      sendHeartbeats(now);
                      routersChanged(now);
                  },
              .onStoreReturned = [this](Time now) { storeReturned(now); } },
          log, metrics)
    , placement_(plan_.self(), settings.placing)
{
}

auto FleetControl::start(Time now) -> void { routersChanged(now); }

auto FleetControl::startDrain(Time now) -> void
{
    draining_ = true;
    state_.ready = false;
    routersChanged(now);
    sendHeartbeats(now);
}

auto FleetControl::tickPeriod() const -> Duration
{
    return placement_.waiting() > 0 || !unsent_.empty() ? busyTick : idleTick;
}

auto FleetControl::checkPause(Time now) -> std::optional<Duration>
{
    noticePause(now);
    const auto lastTick = std::exchange(lastTick_, now);
    const auto sinceTick = now - lastTick;
    if (lastTick == Time {} || sinceTick <= maxTickDelay)
        return std::nullopt;
    peers_.resetSilence(now);
    return sinceTick;
}

auto FleetControl::noticePause(Time now) -> void
{
    if (lastTick_ == Time {} || now - lastTick_ <= PeerTable::silenceLimit || pausedAt_ == lastTick_)
        return;
    pausedAt_ = lastTick_;
    rejoinAt_ = now + PeerTable::rejoinTime;
    // The requests that wait here may have been withdrawn by frames that are still unread.
    placement_.holdPlacing(now);
    routersChanged(now);
}

auto FleetControl::tick(Time now) -> void
{
    sendDueHeartbeats(now);
    announceCandidates(now);
    if (rejoinAt_ != Time {} && now >= rejoinAt_) {
        rejoinAt_ = {};
        routersChanged(now);
    }
    checkLiveness(now);
    repeatQuarantines(now);
    sync_.tick(now, { peers_.size() > 0, plan_.hubs().isHub(plan_.self()), fleetSize_ });
}

auto FleetControl::connected(Time now, RouterId router, const PeerHello& hello) -> void
{
    noticePause(now);
    peers_.connected(now, router, hello);
    log_.write(LogLevel::Info, "peer-connected",
        { { "peer", hello.endpoint }, { "router", std::to_string(router.value) },
            { "run", std::to_string(hello.incarnation) }, { "peers", std::to_string(peers_.size()) } });
    auto frame = PeerFrame {};
    frame.addresses = plan_.candidates();
    for (const auto& address : frame.addresses) {
        if (hello.isFromOldBuild())
            frame.members.push_back(address.endpoint);
    }
    frame.heartbeat = heartbeat();
    if (plan_.hubs().isHub(router))
        frame.crashes = placement_.crashes(now);
    sendDated(now, router, frame);
    routersChanged(now);
}

auto FleetControl::refused(Time now, RouterId router) -> void
{
    noticePause(now);
    peers_.forget(router);
    routersChanged(now);
}

auto FleetControl::disconnected(Time now, RouterId router, std::string_view reason) -> void
{
    noticePause(now);
    log_.write(LogLevel::Warning, "peer-lost",
        { { "router", std::to_string(router.value) }, { "reason", std::string(reason) } });
    peers_.lost(router);
    unsent_.erase(router);
    placement_.removeRouter(now, router);
    routersChanged(now);
}

auto FleetControl::frameArrived(Time now, RouterId router, PeerFrame frame) -> void
{
    noticePause(now);
    const auto changed = peers_.updateLastSeen(now, router, frame.heartbeat);
    if (frame.presence)
        peers_.updatePresence(router, *frame.presence);
    for (const auto& address : frame.addresses)
        plan_.addPeer(address);
    for (const auto& member : frame.members)
        plan_.addPeer({ member });
    if (changed) {
        plan_.setResponsive(now, router, true);
        routersChanged(now);
    }
    // A build that sends no clock is believed to send without delay.
    const auto sentAt = frame.clock ? peers_.updateClock(now, router, *frame.clock) : now;
    sync_.handleFrame(now, router, frame, sentAt);
    state_.directoryReadAt = sync_.directoryReadAt();
    leavingArrived(now, router, frame.availability);
    quarantinesArrived(now, router, frame.quarantines);
    for (const auto& crash : frame.crashes)
        placement_.applyCrash(now, crash);
    if (!frame.placementRequests.empty() || !frame.reports.empty() || !frame.placementDecisions.empty()
        || !frame.availability.empty())
        placement_.handleFrame(now, router, frame);
}

auto FleetControl::handleMessage(Time now, RelayToScheduler message) -> void
{
    noticePause(now);
    std::visit([this, now](auto& item) { handle(now, std::move(item)); }, message);
}

auto FleetControl::handleMessage(Time now, StoreToScheduler message) -> void
{
    noticePause(now);
    std::visit([this, now](auto& item) { handle(now, std::move(item)); }, message);
}

auto FleetControl::handle(Time now, RequestPlacement request) -> void
{
    placement_.requestPlacement(now, std::move(request.place));
}

auto FleetControl::handle(Time now, const PeerReport& report) -> void { placement_.report(now, report); }

auto FleetControl::handle(Time now, DirectoryRead read) -> void
{
    sync_.handle(now, std::move(read));
    state_.directoryReadAt = sync_.directoryReadAt();
}

auto FleetControl::handle(Time now, ConfigurationRead read) -> void { sync_.handle(now, std::move(read)); }

auto FleetControl::handle(Time now, const FleetJoined& joined) -> void
{
    sync_.fleetJoined(now, static_cast<bool>(joined.routers));
    if (!joined.routers)
        return;
    for (const auto& address : joined.routers.value())
        plan_.addPeer(address);
}

auto FleetControl::fleetChanged(Time now) -> void
{
    const auto& fleet = sync_.fleet();
    if (!fleet.table())
        return;
    const auto upstreams = fleet.upstreams();
    placement_.setFleet(now, *fleet.table(), *upstreams);
    leaving_.setUpstreams(now, *upstreams);
    leaving_.sweep(now);
    relayChanged(now);
    updateDependencies(now, roleCandidates(now));
    if (fleet.directoryEnd() && !draining_ && !state_.ready.exchange(true))
        log_.write(LogLevel::Info, "ready", { { "configuration", std::to_string(fleet.version()) } });
}

auto FleetControl::relayChanged(Time now) -> void
{
    const auto& fleet = sync_.fleet();
    if (fleet.table())
        handlers_.tellRelay(FleetChanged { fleet.table(), fleet.upstreams(), fleetSize_, now });
}

auto FleetControl::logPlacerChanges(std::span<const PlacementCoordinator::PlacerChange> changes) -> void
{
    for (const auto& change : changes) {
        log_.write(LogLevel::Info, "placer",
            { { "service", std::to_string(change.service.value) },
                { "router", std::to_string(change.now.value) },
                { "before", std::to_string(change.before.value) },
                { "self", change.now == plan_.self() ? "true" : "false" } });
    }
}

auto FleetControl::logShares() -> void
{
    const auto reports = placement_.takeReports(maxSharesLogged);
    const auto& table = sync_.fleet().table();
    if (!table)
        return;
    const auto whole = [](double value) { return std::to_string(std::llround(value)); };
    for (const auto& [id, organisations] : reports) {
        const auto* const service = table->service(id);
        for (const auto& report : organisations) {
            const auto* const holder = table->organisation(report.organisation);
            log_.write(LogLevel::Info, "organisation-share",
                { { "service", service == nullptr ? "-" : service->name },
                    { "organisation", holder == nullptr ? "-" : holder->name },
                    { "asked", whole(report.share.asked) }, { "placed", whole(report.share.placed) },
                    { "begun", whole(report.share.begun) },
                    { "refused", std::to_string(report.share.refused) },
                    { "waiting", std::to_string(report.waiting) },
                    { "account-percent", whole(report.account * 100) } });
        }
    }
}

auto FleetControl::sendOutputs(Time now) -> void
{
    auto outputs = placement_.takeOutputs();
    logPlacerChanges(outputs.placerChanges);
    publishQuarantines(now, outputs.quarantines);
    publishCrashes(now, std::move(outputs.crashes));
    for (const auto& query : outputs.engineQueries)
        handlers_.queryEngine(query);
    for (const auto& [router, service] : outputs.unknownServices) {
        log_.write(LogLevel::Warning, "peer-unknown-service",
            { { "router", std::to_string(router.value) }, { "service", std::to_string(service.value) } });
    }
    for (auto& decision : outputs.placementDecisions)
        handlers_.tellRelay(PlacementDecided { decision });
    for (auto& [router, frame] : outputs.frames) {
        auto& unsent = unsent_[router];
        append(unsent.placementRequests, frame.placementRequests);
        append(unsent.placementDecisions, frame.placementDecisions);
        append(unsent.reports, frame.reports);
        append(unsent.availability, frame.availability);
        append(unsent.quarantines, frame.quarantines);
        append(unsent.crashes, frame.crashes);
    }
    if (outputs.urgent || now >= nextFlush_)
        flushFrames(now);
}

auto FleetControl::flushFrames(Time now) -> void
{
    nextFlush_ = now + flushInterval;
    for (const auto& [router, frame] : std::exchange(unsent_, {}))
        handlers_.send(router, frame);
}

} // namespace camphorshunt::router
