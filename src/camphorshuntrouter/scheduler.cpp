#include "scheduler.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "clock.h"

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

constexpr auto fleetReportInterval = Duration(1s);
/** A scheduler whose ticks are delayed by less is not reported while no request waits. */
constexpr auto reportedDelay = Duration(50ms);

auto milliseconds(Duration time) -> std::string { return std::to_string(inMilliseconds(time).count()); }

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
    , control_({ { settings.listen.text(), settings.incarnation, settings.processorShare,
                     hashName(settings.failureDomain) },
                   settings.placing },
          { .send = [this](RouterId router, const PeerFrame& frame) { mesh_->send(router, frame); },
              .callStore = [this](SchedulerToStore call) { rings_.toStore.push(std::move(call)); },
              .tellRelay = [this](SchedulerToRelay message) { rings_.toRelay.push(std::move(message)); },
              .queryEngine = [this](const PlacementCoordinator::EngineQuery& query) { queryEngine(query); } },
          log, metrics, state)
    , queries_(context)
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
        .onConnected =
            [this](RouterId router, const PeerHello& hello) {
                control_.connected(steadyNow(), router, hello);
                placeAndSend();
            },
        .onDisconnected =
            [this](RouterId router, std::string_view reason) {
                control_.disconnected(steadyNow(), router, reason);
                placeAndSend();
            },
        .onFrame =
            [this](RouterId router, PeerFrame frame) {
                ++work_.frames;
                control_.frameArrived(steadyNow(), router, std::move(frame));
                placeAndSend();
            },
        .onRefused = [this](RouterId router) { control_.refused(steadyNow(), router); },
        .onMalformed =
            [this](std::string_view reason) {
                log_.write(LogLevel::Warning, "peer-malformed", { { "reason", std::string(reason) } });
            },
    };
    auto mesh = PeerMesh::listen(context_, settings_.listen, control_.plan(), std::move(handlers));
    if (!mesh)
        return mesh.error();
    mesh_ = std::move(mesh.value());
    control_.start(steadyNow());
    boost::asio::post(context_, [this] {
        addSeeds(settings_.seeds);
        tick();
    });
    return boost::outcome_v2::success();
}

auto Scheduler::addSeeds(std::span<const Endpoint> seeds) -> void
{
    for (const auto& seed : seeds)
        control_.plan().addPeer({ seed.text() });
}

auto Scheduler::startDrain() -> void
{
    control_.startDrain(steadyNow());
    placeAndSend();
}

auto Scheduler::armTick() -> void
{
    tickPeriod_ = control_.tickPeriod();
    tickDue_ = steadyNow() + tickPeriod_;
    timer_.expires_after(tickPeriod_);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

auto Scheduler::tick() -> void
{
    const auto now = steadyNow();
    if (const auto pause = control_.checkPause(now)) {
        log_.write(LogLevel::Warning, "stood-still",
            { { "ms", milliseconds(*pause) }, { "processor-ms", milliseconds(load_.processorSinceTick()) },
                { "waiting", std::to_string(control_.placement().waiting()) } });
    }
    reportLoad(now);
    control_.tick(now);
    placeAndSend();
    reportFleet(now);
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
    metrics_.setOwnedServices(control_.placement().ownedServices());
    metrics_.setWarmup(control_.placement().warmupReport(now));
    control_.logShares();
    if (control_.placement().waiting() == 0 && report->late < reportedDelay)
        return;
    log_.write(LogLevel::Info, "scheduler-load",
        { { "late-ms", milliseconds(report->late) }, { "processor-ms", milliseconds(report->processor) },
            { "placing-ms", milliseconds(work.placing) }, { "passes", std::to_string(work.passes) },
            { "frames", std::to_string(work.frames) },
            { "waiting", std::to_string(control_.placement().waiting()) } });
}

auto Scheduler::reportFleet(Time now) -> void
{
    if (now < nextFleetReport_)
        return;
    nextFleetReport_ = now + fleetReportInterval;
    auto report = FleetReport {};
    report.address = settings_.listen.text();
    report.failureDomain = settings_.failureDomain;
    control_.describe(now, report);
    metrics_.setFleet(report);
    if (onFleetReport_)
        onFleetReport_(std::move(report));
}

auto Scheduler::handleMessage(RelayToScheduler message) -> void
{
    control_.handleMessage(steadyNow(), std::move(message));
    placeAndSend();
}

auto Scheduler::handleMessage(StoreToScheduler message) -> void
{
    control_.handleMessage(steadyNow(), std::move(message));
    placeAndSend();
}

auto Scheduler::queryEngine(const PlacementCoordinator::EngineQuery& query) -> void
{
    queries_.send(query.engine.endpoint, [this, query](const EngineQueryResult& result) {
        control_.engineQueried(steadyNow(), query, result);
        placeAndSend();
    });
}

/** Places waiting requests, and sends the decisions to the relay and to peers. */
auto Scheduler::placeAndSend() -> void
{
    const auto now = steadyNow();
    control_.placeWaiting(now);
    const auto passTime = steadyNow() - now;
    ++work_.passes;
    work_.placing += passTime;
    if (control_.placement().ownedServices() > 0)
        metrics_.placingPass(passTime);
    control_.sendOutputs(now);
    if (control_.tickPeriod() < tickPeriod_)
        armTick();
}

} // namespace camphorshunt::router
