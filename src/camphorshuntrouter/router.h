#pragma once

#include <atomic>
#include <filesystem>
#include <memory>
#include <string>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <prometheus/registry.h>

#include "camphorshunt/result.h"
#include "camphorshunt/ring.h"

#include "relay.h"
#include "routerlog.h"
#include "routermetrics.h"
#include "routersettings.h"
#include "scheduler.h"
#include "sharedstate.h"
#include "storegateway.h"
#include "telemetryserver.h"
#include "worker.h"

namespace camphorshunt::router {

/**
 * One router process: the relay, scheduler, store and telemetry threads, and the signals that reload and stop
 * the process.
 */
class Router {
public:
    static auto create(const RouterSettings& settings, std::string file) -> Result<std::unique_ptr<Router>>;
    ~Router();
    Router(const Router&) = delete;
    Router(Router&&) = delete;
    auto operator=(const Router&) -> Router& = delete;
    auto operator=(Router&&) -> Router& = delete;

    /** Runs until a signal requests the stop and the drain has ended. */
    auto run() -> void;

private:
    explicit Router(RouterSettings settings, std::string file);

    auto open() -> Result<void>;
    auto awaitSignal() -> void;
    auto watchSettings() -> void;
    auto reload(std::string_view cause) -> void;
    auto startDrain() -> void;
    auto awaitDrain() -> void;
    auto stopThreads() -> void;

    RouterSettings settings_;
    std::string file_;
    std::filesystem::file_time_type fileTime_;

    Worker relayThread_;
    Worker schedulerThread_;
    Worker storeThread_;
    Worker telemetryThread_;
    boost::asio::io_context mainContext_ { 1 };

    Ring<RelayToScheduler> relayToScheduler_;
    Ring<SchedulerToRelay> schedulerToRelay_;
    Ring<SchedulerToStore> schedulerToStore_;
    Ring<StoreToScheduler> storeToScheduler_;

    prometheus::Registry registry_;
    RouterMetrics metrics_ { registry_ };
    RouterLog log_;
    SharedState state_;
    /** Requests in progress, as last counted by the relay during a drain. */
    std::atomic<std::size_t> busy_ = 0;

    std::unique_ptr<Relay> relay_;
    std::unique_ptr<Scheduler> scheduler_;
    std::unique_ptr<StoreGateway> store_;
    std::unique_ptr<TelemetryServer> telemetry_;

    boost::asio::signal_set signals_;
    boost::asio::steady_timer settingsTimer_;
    boost::asio::steady_timer drainTimer_;
    std::chrono::steady_clock::time_point drainBegan_;
    bool draining_ = false;
};

} // namespace camphorshunt::router
