#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "camphorshunt/result.h"

#include "callers.h"
#include "messages.h"
#include "peers.h"
#include "platform.h"
#include "scheduler.h"
#include "settings.h"
#include "spanfile.h"
#include "telemetry.h"
#include "upstreams.h"
#include "worker.h"

namespace camphorshunt {

/** A router process: owns its threads, the rings between them and the component that runs on each. */
class Daemon {
public:
    static auto create(const Settings& settings) -> Result<std::unique_ptr<Daemon>>;

    Daemon(const Daemon&) = delete;
    Daemon(Daemon&&) = delete;
    auto operator=(const Daemon&) -> Daemon& = delete;
    auto operator=(Daemon&&) -> Daemon& = delete;
    ~Daemon();

    /** The bound endpoints as `callers=IP:PORT admin=IP:PORT peers=IP:PORT`. */
    auto endpointsText() const -> std::string;
    /** Blocks until a drain, requested by SIGTERM or SIGINT, has ended. */
    auto run() -> void;

private:
    Daemon();

    auto open(const Settings& settings) -> Result<void>;
    auto openTelemetry(const Settings& settings) -> Result<void>;
    auto ringDepths() const -> std::vector<std::pair<std::string, std::size_t>>;
    auto startThreads() -> void;
    auto stopThreads() -> void;
    auto finishAnswers() -> void;
    auto waitForCallers() -> void;

    boost::asio::io_context mainContext_ { 1 };
    Worker callersThread_;
    Worker schedulerThread_;
    Worker upstreamsThread_;
    Worker peersThread_;
    Worker platformThread_;
    Worker telemetryThread_;

    Ring<Event> callersToScheduler_;
    Ring<Event> upstreamsToScheduler_;
    Ring<Event> peersToScheduler_;
    Ring<Event> platformToScheduler_;
    Ring<StatusRequest> telemetryToScheduler_;
    Ring<CallersToUpstreams> callersToUpstreams_;
    Ring<UpstreamsToCallers> upstreamsToCallers_;
    Ring<SchedulerToCallers> schedulerToCallers_;
    Ring<SchedulerToUpstreams> schedulerToUpstreams_;
    Ring<SchedulerToPeers> schedulerToPeers_;
    Ring<SchedulerToPlatform> schedulerToPlatform_;
    Ring<SchedulerToTelemetry> schedulerToTelemetry_;
    Ring<CallersToTelemetry> callersToTelemetry_;

    std::unique_ptr<Callers> callers_;
    std::unique_ptr<Scheduler> scheduler_;
    std::unique_ptr<Upstreams> upstreams_;
    std::unique_ptr<Peers> peers_;
    std::unique_ptr<Platform> platform_;
    std::unique_ptr<SpanFile> spanFile_;
    std::unique_ptr<Telemetry> telemetry_;

    boost::asio::steady_timer finishTimer_;
    /** Set by the first `Exit` action; later ones are ignored. */
    bool finishing_ = false;
    std::chrono::steady_clock::time_point finishBy_;
};

} // namespace camphorshunt
