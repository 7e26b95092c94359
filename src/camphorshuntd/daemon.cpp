#include "daemon.h"

#include <csignal>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/outcome/try.hpp>

#include "callerrequest.h"
#include "processmetrics.h"

namespace camphorshunt {

namespace {

/** Capacity of the rings; the reserve is kept for control messages, which use `push`. */
constexpr auto ringCapacity = std::size_t { 8192 };
constexpr auto ringReserve = ringCapacity / 4;
constexpr auto statusCapacity = std::size_t { 64 };
constexpr auto statusReserve = std::size_t { 1 };

/** Time limit after the drain for sending the last answers to their callers. */
constexpr auto maxFinishTime = std::chrono::seconds(5);
constexpr auto finishInterval = std::chrono::milliseconds(10);

/** Low bits of a request id that count; the bits above identify the daemon and its process lifetime. */
constexpr auto requestCountBits = 40U;

auto wallNow() -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

auto coreSettings(const Settings& settings) -> CoreSettings
{
    auto core = CoreSettings {};
    core.name = settings.name;
    core.failureDomain = settings.failureDomain;
    core.incarnation = Incarnation { static_cast<std::uint64_t>(wallNow().count()) };
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    core.wallOffset = wallNow() - std::chrono::duration_cast<Duration>(steady);
    auto device = std::random_device {};
    core.seed = std::uniform_int_distribution<std::uint64_t> {}(device);
    return core;
}

} // namespace

Daemon::Daemon()
    : callersToScheduler_(callersThread_.context(), schedulerThread_.context(), ringCapacity, ringReserve)
    , upstreamsToScheduler_(upstreamsThread_.context(), schedulerThread_.context(), ringCapacity, ringReserve)
    , peersToScheduler_(peersThread_.context(), schedulerThread_.context(), ringCapacity, ringReserve)
    , platformToScheduler_(platformThread_.context(), schedulerThread_.context(), ringCapacity, ringReserve)
    , telemetryToScheduler_(
          telemetryThread_.context(), schedulerThread_.context(), statusCapacity, statusReserve)
    , callersToUpstreams_(callersThread_.context(), upstreamsThread_.context(), ringCapacity, ringReserve)
    , upstreamsToCallers_(upstreamsThread_.context(), callersThread_.context(), ringCapacity, ringReserve)
    , schedulerToCallers_(schedulerThread_.context(), callersThread_.context(), ringCapacity, ringReserve)
    , schedulerToUpstreams_(schedulerThread_.context(), upstreamsThread_.context(), ringCapacity, ringReserve)
    , schedulerToPeers_(schedulerThread_.context(), peersThread_.context(), ringCapacity, ringReserve)
    , schedulerToPlatform_(schedulerThread_.context(), platformThread_.context(), ringCapacity, ringReserve)
    , schedulerToTelemetry_(schedulerThread_.context(), telemetryThread_.context(), ringCapacity, ringReserve)
    , callersToTelemetry_(callersThread_.context(), telemetryThread_.context(), ringCapacity, ringReserve)
    , finishTimer_(mainContext_)
{
}

Daemon::~Daemon() { stopThreads(); }

auto Daemon::create(const Settings& settings) -> Result<std::unique_ptr<Daemon>>
{
    auto daemon = std::unique_ptr<Daemon>(new Daemon());
    auto opened = daemon->open(settings);
    if (opened.has_error())
        return opened.error();
    return daemon;
}

auto Daemon::open(const Settings& settings) -> Result<void>
{
    const auto own = coreSettings(settings);
    const auto lifetime = RequestId { hashName(own.name + "/" + std::to_string(own.incarnation.value)) };
    const auto firstRequest = RequestId { lifetime.value << requestCountBits | 1U };

    BOOST_OUTCOME_TRY(callers_,
        Callers::listen(callersThread_.context(),
            { settings.callersListen, settings.callersLimits, firstRequest },
            { callersToScheduler_, callersToUpstreams_, schedulerToCallers_, upstreamsToCallers_,
                callersToTelemetry_ }));
    BOOST_OUTCOME_TRY(telemetry_,
        Telemetry::listen(telemetryThread_.context(), settings.adminListen, telemetryToScheduler_,
            schedulerToTelemetry_, callersToTelemetry_));
    BOOST_OUTCOME_TRY(peers_,
        Peers::listen(peersThread_.context(),
            { settings.name, own.incarnation, settings.peersListen, settings.sharedKey }, peersToScheduler_,
            schedulerToPeers_));
    upstreams_ = std::make_unique<Upstreams>(upstreamsThread_.context(), requestIdText(lifetime),
        Upstreams::Rings {
            upstreamsToScheduler_, upstreamsToCallers_, callersToUpstreams_, schedulerToUpstreams_ });
    platform_ = std::make_unique<Platform>(platformThread_.context(),
        Platform::Settings { settings.platformLog, settings.platformVms, own.seed }, platformToScheduler_,
        schedulerToPlatform_);

    BOOST_OUTCOME_TRYV(openTelemetry(settings));

    auto recorder = std::unique_ptr<Recorder> {};
    if (!settings.recordFile.empty()) {
        BOOST_OUTCOME_TRY(recorder, Recorder::create(settings.recordFile, settings.recordLimitBytes, own));
    }
    BOOST_OUTCOME_TRY(auto core, Core::create(own));
    scheduler_ = std::make_unique<Scheduler>(schedulerThread_.context(), std::move(core), own.tick,
        std::move(recorder),
        Scheduler::Rings { callersToScheduler_, upstreamsToScheduler_, peersToScheduler_,
            platformToScheduler_, telemetryToScheduler_, schedulerToCallers_, schedulerToUpstreams_,
            schedulerToPeers_, schedulerToPlatform_, schedulerToTelemetry_ },
        [this] { boost::asio::post(mainContext_, [this] { finishAnswers(); }); });
    return boost::outcome_v2::success();
}

auto Daemon::openTelemetry(const Settings& settings) -> Result<void>
{
    telemetry_->add(
        std::make_unique<ProcessMetrics>(ProcessMetrics::Sources { [this] { return peers_->traffic(); },
            [this] { return platform_->appends(); }, [this] { return ringDepths(); },
            [this] { return spanFile_ ? spanFile_->dropped() : std::uint64_t {}; } }));
    if (settings.traceFile.empty())
        return boost::outcome_v2::success();
    BOOST_OUTCOME_TRY(spanFile_, SpanFile::create(settings.traceFile, settings.traceLimitBytes));
    telemetry_->trace(std::make_unique<RequestSpans>(
        [file = spanFile_.get()](std::string line) { file->write(std::move(line)); }));
    return boost::outcome_v2::success();
}

auto Daemon::ringDepths() const -> std::vector<std::pair<std::string, std::size_t>>
{
    return { { "callers-scheduler", callersToScheduler_.depth() },
        { "upstreams-scheduler", upstreamsToScheduler_.depth() },
        { "peers-scheduler", peersToScheduler_.depth() },
        { "platform-scheduler", platformToScheduler_.depth() },
        { "callers-upstreams", callersToUpstreams_.depth() },
        { "upstreams-callers", upstreamsToCallers_.depth() },
        { "scheduler-callers", schedulerToCallers_.depth() },
        { "scheduler-upstreams", schedulerToUpstreams_.depth() },
        { "scheduler-peers", schedulerToPeers_.depth() },
        { "scheduler-platform", schedulerToPlatform_.depth() },
        { "scheduler-telemetry", schedulerToTelemetry_.depth() },
        { "callers-telemetry", callersToTelemetry_.depth() } };
}

auto Daemon::endpointsText() const -> std::string
{
    return "callers=" + callers_->endpoint().text() + " admin=" + telemetry_->endpoint().text()
        + " peers=" + peers_->endpoint().text();
}

auto Daemon::run() -> void
{
    auto signals = boost::asio::signal_set(mainContext_, SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code& code, int) {
        if (!code)
            scheduler_->drain();
    });
    startThreads();
    auto guard = boost::asio::make_work_guard(mainContext_);
    mainContext_.run();
    stopThreads();
}

auto Daemon::startThreads() -> void
{
    boost::asio::post(schedulerThread_.context(), [this] { scheduler_->start(); });
    boost::asio::post(platformThread_.context(), [this] { platform_->start(); });
    for (auto* const thread : { &schedulerThread_, &upstreamsThread_, &peersThread_, &platformThread_,
             &telemetryThread_, &callersThread_ })
        thread->start();
}

auto Daemon::stopThreads() -> void
{
    for (auto* const thread : { &callersThread_, &telemetryThread_, &platformThread_, &peersThread_,
             &upstreamsThread_, &schedulerThread_ })
        thread->stop();
    // What was decided last is logged too.
    schedulerToTelemetry_.deliverRest();
    callersToTelemetry_.deliverRest();
}

/** Stops accepting callers, waits until the last answers are sent, then ends `run`. */
auto Daemon::finishAnswers() -> void
{
    if (std::exchange(finishing_, true))
        return;
    finishBy_ = std::chrono::steady_clock::now() + maxFinishTime;
    boost::asio::post(callersThread_.context(), [this] { callers_->stopAccepting(); });
    waitForCallers();
}

auto Daemon::waitForCallers() -> void
{
    boost::asio::post(callersThread_.context(), [this] {
        const auto done = callers_->connections() == 0 || std::chrono::steady_clock::now() >= finishBy_;
        boost::asio::post(mainContext_, [this, done] {
            if (done) {
                mainContext_.stop();
                return;
            }
            finishTimer_.expires_after(finishInterval);
            finishTimer_.async_wait([this](const boost::system::error_code& code) {
                if (!code)
                    waitForCallers();
            });
        });
    });
}

} // namespace camphorshunt
