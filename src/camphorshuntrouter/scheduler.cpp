#include "scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/post.hpp>

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

/** A scheduler whose ticks are delayed by less is not reported while no request waits. */
constexpr auto reportedDelay = Duration(50ms);

auto milliseconds(Duration time) -> std::string { return std::to_string(inMilliseconds(time).count()); }

template <typename Item> auto append(std::vector<Item>& to, std::vector<Item>& from) -> void
{
    std::ranges::move(from, std::back_inserter(to));
}

} // namespace

Scheduler::Scheduler(boost::asio::io_context& context, const Settings& settings, const Rings& rings,
    RouterLog& log, RouterMetrics& metrics, SharedState& state)
    : context_(context)
    , settings_(settings)
    , rings_(rings)
    , log_(log)
    , metrics_(metrics)
    , state_(state)
    , timer_(context)
    , sync_({ settings.listen.text(), settings.processorShare, hashName(settings.failureDomain) },
          { .send = [this](RouterId router, const PeerFrame& frame) { mesh_->send(router, frame); },
              .publish = [this](const PeerFrame& frame) { sendUpdate(frame, true); },
              .forward = [this](const PeerFrame& frame) { sendUpdate(frame, false); },
              .callStore = [this](SchedulerToStore call) { rings_.toStore.push(std::move(call)); },
              .onFleetChanged = [this] { fleetChanged(steadyNow()); },
              .onStoreReachabilityChanged =
                  [this] {
                      sendHeartbeats();
                      routersChanged(steadyNow());
                  } },
          log, metrics)
{
}

auto Scheduler::create(boost::asio::io_context& context, const Settings& settings, const Rings& rings,
    RouterLog& log, RouterMetrics& metrics, SharedState& state) -> Result<std::unique_ptr<Scheduler>>
{
    auto scheduler = std::unique_ptr<Scheduler>(new Scheduler(context, settings, rings, log, metrics, state));
    const auto opened = scheduler->open();
    if (!opened)
        return opened.error();
    return Result<std::unique_ptr<Scheduler>>(std::move(scheduler));
}

auto Scheduler::open() -> Result<void>
{
    auto handlers = PeerMesh::Handlers {
        .onConnected = [this](RouterId router, const PeerHello& hello) { connected(router, hello); },
        .onDisconnected = [this](RouterId router, std::string_view reason) { disconnected(router, reason); },
        .onFrame = [this](RouterId router, PeerFrame frame) { frameArrived(router, std::move(frame)); },
        .onRefused =
            [this](RouterId router) {
                peers_.forget(router);
                routersChanged(steadyNow());
            },
    };
    const auto self = PeerHello { settings_.listen.text(), settings_.incarnation, settings_.processorShare,
        hashName(settings_.failureDomain) };
    auto mesh = PeerMesh::listen(context_, settings_.listen, self, std::move(handlers));
    if (!mesh)
        return mesh.error();
    mesh_ = std::move(mesh.value());
    placement_ = std::make_unique<PlacementCoordinator>(mesh_->self(), settings_.placing);
    routersChanged(steadyNow());
    boost::asio::post(context_, [this] {
        addSeeds(settings_.seeds);
        tick();
    });
    return boost::outcome_v2::success();
}

auto Scheduler::addSeeds(std::span<const Endpoint> seeds) -> void
{
    for (const auto& seed : seeds)
        mesh_->addPeer({ seed.text() });
}

auto Scheduler::startDrain() -> void
{
    draining_ = true;
    state_.ready = false;
    routersChanged(steadyNow());
    sendHeartbeats();
    placeAndSend();
}

auto Scheduler::armTick() -> void
{
    ticksOften_ = placement_->waiting() > 0 || !unsent_.empty();
    const auto period = Duration(ticksOften_ ? busyTick : idleTick);
    tickDue_ = steadyNow() + period;
    timer_.expires_after(period);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

auto Scheduler::tick() -> void
{
    const auto now = steadyNow();
    if (lastTick_ != Time {} && now - lastTick_ > maxTickDelay) {
        log_.write(LogLevel::Warning, "stood-still",
            { { "ms", milliseconds(now - lastTick_) },
                { "processor-ms", milliseconds(load_.processorSinceTick()) },
                { "waiting", std::to_string(placement_->waiting()) } });
        peers_.resetSilence(now);
        if (now - lastTick_ > PeerTable::silenceLimit) {
            rejoinAt_ = now + PeerTable::rejoinTime;
            routersChanged(now);
        }
    }
    reportLoad(now);
    lastTick_ = now;
    sendDueHeartbeats(now);
    announceCandidates(now);
    if (rejoinAt_ != Time {} && now >= rejoinAt_) {
        rejoinAt_ = {};
        routersChanged(now);
    }
    checkLiveness(now);
    sync_.tick(now, { peers_.size() > 0, mesh_->hubs().isHub(mesh_->self()), fleetSize_ });
    placeAndSend();
    armTick();
}

auto Scheduler::reportLoad(Time now) -> void
{
    const auto report = load_.tick(now, tickDue_ == Time {} ? now : tickDue_);
    metrics_.schedulerTick(load_.late());
    if (!report)
        return;
    const auto work = std::exchange(work_, {});
    const auto directoryReadAt = state_.directoryReadAt.load();
    if (directoryReadAt != Time {})
        metrics_.setDirectoryAge(now - directoryReadAt);
    metrics_.setOwnedServices(placement_->ownedServices());
    if (placement_->waiting() == 0 && report->late < reportedDelay)
        return;
    log_.write(LogLevel::Info, "scheduler-load",
        { { "late-ms", milliseconds(report->late) }, { "processor-ms", milliseconds(report->processor) },
            { "placing-ms", milliseconds(work.placing) }, { "passes", std::to_string(work.passes) },
            { "frames", std::to_string(work.frames) },
            { "waiting", std::to_string(placement_->waiting()) } });
}

auto Scheduler::connected(RouterId router, const PeerHello& hello) -> void
{
    const auto now = steadyNow();
    peers_.connected(now, router, hello);
    log_.write(LogLevel::Info, "peer-connected",
        { { "peer", hello.endpoint }, { "router", std::to_string(router.value) },
            { "run", std::to_string(hello.incarnation) }, { "peers", std::to_string(peers_.size()) } });
    auto frame = PeerFrame {};
    frame.addresses = mesh_->candidates();
    const auto isOldBuild = hello.failureDomain == 0;
    for (const auto& address : frame.addresses) {
        if (isOldBuild)
            frame.members.push_back(address.endpoint);
    }
    frame.heartbeat = heartbeat();
    mesh_->send(router, frame);
    routersChanged(now);
    placeAndSend();
}

auto Scheduler::disconnected(RouterId router, std::string_view reason) -> void
{
    const auto now = steadyNow();
    log_.write(LogLevel::Warning, "peer-lost",
        { { "router", std::to_string(router.value) }, { "reason", std::string(reason) } });
    peers_.lost(router);
    unsent_.erase(router);
    placement_->removeRouter(now, router);
    routersChanged(now);
    placeAndSend();
}

auto Scheduler::frameArrived(RouterId router, PeerFrame frame) -> void
{
    const auto now = steadyNow();
    ++work_.frames;
    const auto changed = peers_.updateLastSeen(now, router, frame.heartbeat);
    if (frame.presence)
        peers_.updatePresence(router, *frame.presence);
    for (const auto& address : frame.addresses)
        mesh_->addPeer(address);
    for (const auto& member : frame.members)
        mesh_->addPeer({ member });
    if (changed) {
        mesh_->setResponsive(router, true);
        routersChanged(now);
    }
    sync_.handleFrame(now, router, frame);
    state_.directoryReadAt = sync_.directoryReadAt();
    leavingArrived(now, router, frame.availability);
    if (!frame.placementRequests.empty() || !frame.reports.empty() || !frame.placementDecisions.empty()
        || !frame.availability.empty())
        placement_->handleFrame(now, router, frame);
    placeAndSend();
}

auto Scheduler::handleMessage(RelayToScheduler message) -> void
{
    std::visit([this](auto& item) { handle(std::move(item)); }, message);
    placeAndSend();
}

auto Scheduler::handleMessage(StoreToScheduler message) -> void
{
    std::visit([this](auto& item) { handle(std::move(item)); }, message);
    placeAndSend();
}

auto Scheduler::handle(RequestPlacement request) -> void
{
    placement_->requestPlacement(steadyNow(), std::move(request.place));
}

auto Scheduler::handle(const PeerReport& report) -> void { placement_->report(steadyNow(), report); }

auto Scheduler::handle(DirectoryRead read) -> void
{
    sync_.handle(steadyNow(), std::move(read));
    state_.directoryReadAt = sync_.directoryReadAt();
}

auto Scheduler::handle(ConfigurationRead read) -> void { sync_.handle(steadyNow(), std::move(read)); }

auto Scheduler::handle(const FleetJoined& joined) -> void
{
    sync_.fleetJoined(steadyNow(), static_cast<bool>(joined.routers));
    if (!joined.routers)
        return;
    for (const auto& address : joined.routers.value())
        mesh_->addPeer(address);
}

auto Scheduler::fleetChanged(Time now) -> void
{
    const auto& fleet = sync_.fleet();
    if (!fleet.table())
        return;
    const auto upstreams = fleet.upstreams();
    placement_->setFleet(now, *fleet.table(), *upstreams);
    leaving_.setUpstreams(now, *upstreams);
    leaving_.sweep(now);
    relayChanged(now);
    updateDependencies(now, roleCandidates(now));
    if (fleet.directoryEnd() && !draining_ && !state_.ready.exchange(true))
        log_.write(LogLevel::Info, "ready", { { "configuration", std::to_string(fleet.version()) } });
}

auto Scheduler::relayChanged(Time now) -> void
{
    const auto& fleet = sync_.fleet();
    if (fleet.table())
        rings_.toRelay.push(FleetChanged { fleet.table(), fleet.upstreams(), fleetSize_, now });
}

auto Scheduler::logPlacerChanges(std::span<const PlacementCoordinator::PlacerChange> changes) -> void
{
    for (const auto& change : changes) {
        log_.write(LogLevel::Info, "placer",
            { { "service", std::to_string(change.service.value) },
                { "router", std::to_string(change.now.value) },
                { "before", std::to_string(change.before.value) },
                { "self", change.now == mesh_->self() ? "true" : "false" } });
    }
}

/** Places waiting requests, and sends the decisions to the relay and to peers. */
auto Scheduler::placeAndSend() -> void
{
    const auto now = steadyNow();
    placement_->placeWaiting(now);
    const auto passTime = steadyNow() - now;
    ++work_.passes;
    work_.placing += passTime;
    if (placement_->ownedServices() > 0)
        metrics_.placingPass(passTime);
    auto outputs = placement_->takeOutputs();
    logPlacerChanges(outputs.placerChanges);
    for (auto& decision : outputs.placementDecisions)
        rings_.toRelay.push(PlacementDecided { decision });
    for (auto& [router, frame] : outputs.frames) {
        auto& unsent = unsent_[router];
        append(unsent.placementRequests, frame.placementRequests);
        append(unsent.placementDecisions, frame.placementDecisions);
        append(unsent.reports, frame.reports);
        append(unsent.availability, frame.availability);
    }
    if (outputs.urgent || now >= nextFlush_)
        flushFrames();
    if (!ticksOften_ && (placement_->waiting() > 0 || !unsent_.empty()))
        armTick();
}

auto Scheduler::flushFrames() -> void
{
    nextFlush_ = steadyNow() + flushInterval;
    for (const auto& [router, frame] : std::exchange(unsent_, {}))
        mesh_->send(router, frame);
}

} // namespace camphorshunt::router
