#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "camphorshunt/result.h"
#include "camphorshunt/ring.h"

#include "fleetsync.h"
#include "peermesh.h"
#include "peertable.h"
#include "placementcoordinator.h"
#include "relaymessages.h"
#include "routerlog.h"
#include "routermetrics.h"
#include "sharedstate.h"
#include "storegateway.h"
#include "threadload.h"
#include "upstreamavailability.h"

namespace camphorshunt::router {

/**
 * Control plane of a router, used on the scheduler thread. Maintains the configuration, the upstream
 * directory and the set of reachable routers, elects the router that reads the store, and places requests for
 * engines.
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

private:
    Scheduler(boost::asio::io_context& context, const Settings& settings, const Rings& rings, RouterLog& log,
        RouterMetrics& metrics, SharedState& state);

    auto open() -> Result<void>;
    auto tick() -> void;
    auto armTick() -> void;
    auto heartbeat() const -> PeerHeartbeat;
    auto sendHeartbeat(RouterId router, Duration interval) -> void;
    auto sendDueHeartbeats(Time now) -> void;
    /** Tells all peers about a change of this router at once. */
    auto sendHeartbeats() -> void;
    /** Sends a frame to the routers that depend on this one, and to the hubs if `withHubs`. */
    auto sendUpdate(const PeerFrame& frame, bool withHubs) -> void;
    auto announceCandidates(Time now) -> void;

    auto connected(RouterId router, const PeerHello& hello) -> void;
    auto disconnected(RouterId router, std::string_view reason) -> void;
    auto frameArrived(RouterId router, PeerFrame frame) -> void;
    auto checkLiveness(Time now) -> void;
    auto routersChanged(Time now) -> void;
    auto electReader(std::span<const LiveRouter> candidates) -> void;
    /** The router from which this one gets updates of the configuration and the directory. */
    auto chooseFeed(std::span<const LiveRouter> candidates) const -> RouterId;
    auto updateDependencies(Time now, std::span<const LiveRouter> candidates) -> void;
    /** Routers that may hold roles for the fleet; not empty. */
    auto roleCandidates(Time now) const -> std::vector<LiveRouter>;
    auto isReader() const -> bool { return reader_ == mesh_->self(); }

    auto handle(RequestPlacement request) -> void;
    auto handle(const PeerReport& report) -> void;
    auto handle(const PeerAvailability& availability) -> void;
    /** A peer has passed on which engines leave; told on if that is new. */
    auto leavingArrived(Time now, RouterId peer, std::span<const PeerAvailability> reports) -> void;
    /** Records which of the engines leave; returns those of which that is new. */
    auto newlyLeaving(Time now, std::span<const PeerAvailability> reports) -> std::vector<PeerAvailability>;
    auto handle(DirectoryRead read) -> void;
    auto handle(ConfigurationRead read) -> void;
    auto handle(const FleetJoined& joined) -> void;

    auto fleetChanged(Time now) -> void;
    auto relayChanged(Time now) -> void;
    auto logPlacerChanges(std::span<const PlacementCoordinator::PlacerChange> changes) -> void;
    auto reportLoad(Time now) -> void;
    auto placeAndSend() -> void;
    auto flushFrames() -> void;

    boost::asio::io_context& context_;
    Settings settings_;
    Rings rings_;
    RouterLog& log_;
    RouterMetrics& metrics_;
    SharedState& state_;
    boost::asio::steady_timer timer_;
    FleetSync sync_;
    std::unique_ptr<PeerMesh> mesh_;
    std::unique_ptr<PlacementCoordinator> placement_;
    PeerTable peers_;
    UpstreamAvailability leaving_;
    /** Non-urgent frames; sent with the next urgent one, or after the flush interval. */
    std::map<RouterId, PeerFrame> unsent_;
    RouterId reader_;
    ThreadLoad load_;
    /** Work since the last report of the load. */
    struct {
        Duration placing {};
        std::uint64_t passes = 0;
        std::uint64_t frames = 0;
    } work_;
    Time tickDue_ {};
    Time lastTick_ {};
    /** This router takes no role until then, as the others took it for silent. */
    Time rejoinAt_ {};
    Time nextAnnouncement_ {};
    std::size_t fleetSize_ = 1;
    Time nextFlush_ {};
    bool ticksOften_ = false;
    bool draining_ = false;
};

} // namespace camphorshunt::router
