#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "camphorshunt/fleetreport.h"
#include "camphorshunt/result.h"
#include "camphorshunt/ring.h"

#include "fleetcontrol.h"
#include "liveness/enginequery.h"
#include "peermesh.h"
#include "relaymessages.h"
#include "routerlog.h"
#include "routermetrics.h"
#include "sharedstate.h"
#include "storegateway.h"
#include "threadload.h"

namespace camphorshunt::router {

/**
 * Control plane of a router, used on the scheduler thread: connects `FleetControl` to the network, the clock
 * and the other threads, and measures its work.
 */
class Scheduler {
public:
    struct Settings {
        Endpoint listen;
        std::vector<Endpoint> seeds;
        double processorShare = 1;
        std::string failureDomain;
        /** Differs between lifetimes of the process. */
        std::uint64_t incarnation = 0;
        Placer::Settings placing;
    };

    struct Rings {
        Ring<SchedulerToRelay>& toRelay;
        Ring<SchedulerToStore>& toStore;
    };

    static auto create(boost::asio::io_context& context, const Settings& settings, const Rings& rings,
        RouterLog& log, RouterMetrics& metrics, SharedState& state) -> Result<std::unique_ptr<Scheduler>>;

    auto handleMessage(RelayToScheduler message) -> void;
    auto handleMessage(StoreToScheduler message) -> void;
    /** Announces that this router is leaving, so that the others assume its roles. */
    auto startDrain() -> void;
    auto addSeeds(std::span<const Endpoint> seeds) -> void;
    /** Sets a handler that is called on this thread, once a second, with the fleet as this router sees it. */
    auto onFleetReport(std::function<void(FleetReport)> handler) -> void
    {
        onFleetReport_ = std::move(handler);
    }

private:
    Scheduler(boost::asio::io_context& context, const Settings& settings, const Rings& rings, RouterLog& log,
        RouterMetrics& metrics, SharedState& state);

    auto open() -> Result<void>;
    auto tick() -> void;
    auto armTick() -> void;
    auto reportLoad(Time now) -> void;
    auto reportFleet(Time now) -> void;
    auto placeAndSend() -> void;
    auto queryEngine(const PlacementCoordinator::EngineQuery& query) -> void;

    boost::asio::io_context& context_;
    Settings settings_;
    Rings rings_;
    RouterLog& log_;
    RouterMetrics& metrics_;
    SharedState& state_;
    boost::asio::steady_timer timer_;
    FleetControl control_;
    EngineQuerySender queries_;
    std::unique_ptr<PeerMesh> mesh_;
    ThreadLoad load_;
    /** Work since the last report of the load. */
    struct {
        Duration placing {};
        std::uint64_t passes = 0;
        std::uint64_t frames = 0;
    } work_;
    Time tickDue_ {};
    Duration tickPeriod_ {};
    std::function<void(FleetReport)> onFleetReport_;
    Time nextFleetReport_ {};
};

} // namespace camphorshunt::router
