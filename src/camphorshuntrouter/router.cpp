#include "router.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>
#include <unistd.h>

#include "clock.h"

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

/** Items per ring between threads; the reserve is for control messages. */
constexpr auto ringCapacity = std::size_t { 2048 };
constexpr auto ringReserve = ringCapacity / 4;
/** Period in which the settings file is checked for changes. */
constexpr auto settingsInterval = 500ms;
constexpr auto drainInterval = 50ms;
/** Callers notice within this time that the router is not ready, and use another one. */
constexpr auto minDrainTime = 3800ms;
/** The process ends this long before the stop time, after which it would be killed. */
constexpr auto stopMargin = 200ms;
/** File descriptors reserved for upstreams, peers, the store and files; the others are for callers. */
constexpr auto otherDescriptors = std::uint64_t { 1000 };

auto randomSeed() -> std::uint64_t
{
    auto device = std::random_device {};
    return std::uniform_int_distribution<std::uint64_t> {}(device);
}

auto fileTimeOf(const std::string& file) -> std::filesystem::file_time_type
{
    auto ignored = std::error_code {};
    return std::filesystem::last_write_time(file, ignored);
}

/** The VM's memory, in bytes. */
auto memoryOf(const RouterSettings& settings) -> std::size_t
{
    constexpr auto megabyte = 1024.0 * 1024.0;
    if (settings.memoryMegabytes > 0)
        return static_cast<std::size_t>(settings.memoryMegabytes * megabyte);
    return static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES))
        * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

auto callersLimit(std::uint64_t descriptors) -> std::size_t
{
    return descriptors > 2 * otherDescriptors ? descriptors - otherDescriptors : descriptors / 2;
}

} // namespace

Router::Router(RouterSettings settings, std::string file)
    : settings_(std::move(settings))
    , file_(std::move(file))
    , fileTime_(fileTimeOf(file_))
    , relayToScheduler_(relayThread_.context(), schedulerThread_.context(), ringCapacity, ringReserve)
    , schedulerToRelay_(schedulerThread_.context(), relayThread_.context(), ringCapacity, ringReserve)
    , schedulerToStore_(schedulerThread_.context(), storeThread_.context(), ringCapacity, ringReserve)
    , storeToScheduler_(storeThread_.context(), schedulerThread_.context(), ringCapacity, ringReserve)
    , signals_(mainContext_, SIGTERM, SIGINT, SIGHUP)
    , settingsTimer_(mainContext_)
    , drainTimer_(mainContext_)
{
}

Router::~Router() { stopThreads(); }

auto Router::create(const RouterSettings& settings, std::string file) -> Result<std::unique_ptr<Router>>
{
    auto router = std::unique_ptr<Router>(new Router(settings, std::move(file)));
    const auto opened = router->open();
    if (!opened)
        return opened.error();
    return Result<std::unique_ptr<Router>>(std::move(router));
}

auto Router::open() -> Result<void>
{
    const auto seed = randomSeed();
    auto relaySettings = Relay::Settings {};
    relaySettings.listen = settings_.callers;
    relaySettings.failureDomain = settings_.failureDomain;
    relaySettings.retries = settings_.retries;
    relaySettings.maxCallers = callersLimit(settings_.descriptors);
    relaySettings.callerMemory = callerBudgetOf(memoryOf(settings_));
    relaySettings.seed = seed;
    auto relay
        = Relay::listen(relayThread_.context(), relaySettings, relayToScheduler_, log_, metrics_, state_);
    if (!relay)
        return relay.error();
    relay_ = std::move(relay.value());

    auto schedulerSettings = Scheduler::Settings {};
    schedulerSettings.listen = settings_.peers;
    schedulerSettings.seeds = settings_.seeds;
    schedulerSettings.processorShare = settings_.processorShare;
    schedulerSettings.failureDomain = settings_.failureDomain;
    schedulerSettings.incarnation = seed;
    schedulerSettings.placing.seed = seed + 1;
    schedulerSettings.placing.coldOvershoot = settings_.coldOvershoot;
    schedulerSettings.placing.coldSlack = settings_.coldSlack;
    auto scheduler = Scheduler::create(schedulerThread_.context(), schedulerSettings,
        { schedulerToRelay_, schedulerToStore_ }, log_, metrics_, state_);
    if (!scheduler)
        return scheduler.error();
    scheduler_ = std::move(scheduler.value());

    store_ = std::make_unique<StoreGateway>(storeThread_.context(), settings_.store, storeToScheduler_);
    auto telemetry = TelemetryServer::listen(
        telemetryThread_.context(), { settings_.readiness, settings_.metrics }, state_, registry_, log_);
    if (!telemetry)
        return telemetry.error();
    telemetry_ = std::move(telemetry.value());

    scheduler_->onFleetReport([this](FleetReport report) {
        boost::asio::post(telemetryThread_.context(),
            [this, report = std::move(report)]() mutable { telemetry_->setFleetReport(std::move(report)); });
    });

    relayToScheduler_.onItem([this](RelayToScheduler item) { scheduler_->handleMessage(std::move(item)); });
    schedulerToRelay_.onItem([this](SchedulerToRelay item) { relay_->handleMessage(std::move(item)); });
    schedulerToStore_.onItem([this](const SchedulerToStore& item) { store_->handleMessage(item); });
    storeToScheduler_.onItem([this](StoreToScheduler item) { scheduler_->handleMessage(std::move(item)); });
    return boost::outcome_v2::success();
}

auto Router::run() -> void
{
    log_.write(LogLevel::Info, "start",
        { { "name", settings_.name }, { "domain", settings_.failureDomain },
            { "callers", settings_.callers.text() }, { "peers", settings_.peers.text() },
            { "store", settings_.store.text() } });
    for (auto* worker : { &telemetryThread_, &storeThread_, &schedulerThread_, &relayThread_ })
        worker->start();
    awaitSignal();
    watchSettings();
    mainContext_.run();
    log_.write(LogLevel::Info, "stop",
        { { "name", settings_.name }, { "unfinished-callers", std::to_string(busy_) } });
    stopThreads();
    log_.drain();
}

auto Router::stopThreads() -> void
{
    for (auto* worker : { &relayThread_, &schedulerThread_, &storeThread_, &telemetryThread_ })
        worker->stop();
}

auto Router::awaitSignal() -> void
{
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reload("signal");
        else
            startDrain();
        awaitSignal();
    });
}

auto Router::watchSettings() -> void
{
    settingsTimer_.expires_after(settingsInterval);
    settingsTimer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        if (fileTimeOf(file_) != fileTime_)
            reload("file changed");
        watchSettings();
    });
}

auto Router::reload(std::string_view cause) -> void
{
    fileTime_ = fileTimeOf(file_);
    const auto next = RouterSettings::load(file_);
    if (!next) {
        log_.write(LogLevel::Error, "reload-failed",
            { { "cause", std::string(cause) }, { "error", next.error().text() } });
        return;
    }
    const auto needsRestart
        = next.value().callers != settings_.callers || next.value().peers != settings_.peers;
    log_.write(LogLevel::Info, "reload",
        { { "cause", std::string(cause) }, { "seeds", std::to_string(next.value().seeds.size()) },
            { "store", next.value().store.text() }, { "needs-restart", needsRestart ? "true" : "false" } });
    boost::asio::post(
        schedulerThread_.context(), [this, seeds = next.value().seeds] { scheduler_->addSeeds(seeds); });
    if (next.value().store != settings_.store) {
        boost::asio::post(
            storeThread_.context(), [this, store = next.value().store] { store_->setStore(store); });
    }
    settings_.seeds = next.value().seeds;
    settings_.store = next.value().store;
    settings_.stopTime = next.value().stopTime;
}

auto Router::startDrain() -> void
{
    if (std::exchange(draining_, true))
        return;
    log_.write(LogLevel::Info, "drain", { { "name", settings_.name } });
    state_.ready = false;
    drainBegan_ = std::chrono::steady_clock::now();
    boost::asio::post(schedulerThread_.context(), [this] { scheduler_->startDrain(); });
    boost::asio::post(relayThread_.context(),
        [this, left = settings_.stopTime - stopMargin] { relay_->handleMessage(StartDrain { left }); });
    awaitDrain();
}

auto Router::awaitDrain() -> void
{
    boost::asio::post(relayThread_.context(), [this] { busy_ = relay_->unfinishedCallers(); });
    drainTimer_.expires_after(drainInterval);
    drainTimer_.async_wait([this](const boost::system::error_code& error) {
        const auto passed = std::chrono::steady_clock::now() - drainBegan_;
        const auto finished = busy_ == 0 && passed > std::min<Duration>(minDrainTime, settings_.stopTime / 2);
        if (error || finished || passed > settings_.stopTime - stopMargin)
            mainContext_.stop();
        else
            awaitDrain();
    });
}

} // namespace camphorshunt::router
