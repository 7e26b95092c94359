#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "camphorshunt/fleetreport.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

#include "fleetsync.h"
#include "meshplan.h"
#include "peertable.h"
#include "placementcoordinator.h"
#include "relaymessages.h"
#include "routerlog.h"
#include "routermetrics.h"
#include "sharedstate.h"
#include "storegateway.h"
#include "upstreamavailability.h"

namespace camphorshunt::router {

/**
 * A router's part in the fleet: heartbeats, which routers are reachable, who holds roles, the configuration
 * and the upstream directory, and the placing of requests. Uses no sockets and no clock: `Scheduler` connects
 * it to the network, the store and the relay.
 */
class FleetControl {
public:
    struct Settings {
        PeerHello self;
        Placer::Settings placing;
    };
    struct Handlers {
        /** Drops the frame if the router is not connected. */
        std::function<void(RouterId, const PeerFrame&)> send;
        std::function<void(SchedulerToStore)> callStore;
        std::function<void(SchedulerToRelay)> tellRelay;
        /** Asks an engine whether it still runs; `engineQueried` gets the answer. */
        std::function<void(const PlacementCoordinator::EngineQuery&)> queryEngine;
    };

    FleetControl(const Settings& settings, Handlers handlers, RouterLog& log, RouterMetrics& metrics,
        SharedState& state);

    /** Call once connections can be made. */
    auto start(Time now) -> void;
    /** If the last tick was so long ago that the process was paused, the time since then. */
    auto checkPause(Time now) -> std::optional<Duration>;
    auto tick(Time now) -> void;
    /** Time until the next tick: shorter while requests or frames wait. */
    auto tickPeriod() const -> Duration;

    auto connected(Time now, RouterId router, const PeerHello& hello) -> void;
    auto disconnected(Time now, RouterId router, std::string_view reason) -> void;
    /** The host of a router that was connected answers, but the process is gone. */
    auto refused(Time now, RouterId router) -> void;
    auto frameArrived(Time now, RouterId router, PeerFrame frame) -> void;
    auto handleMessage(Time now, RelayToScheduler message) -> void;
    auto handleMessage(Time now, StoreToScheduler message) -> void;
    auto engineQueried(
        Time now, const PlacementCoordinator::EngineQuery& query, const EngineQueryResult& result) -> void;
    /** Announces that this router is leaving, so that the others assume its roles. */
    auto startDrain(Time now) -> void;

    auto placeWaiting(Time now) -> void { placement_.placeWaiting(now); }
    /** Passes decisions to the relay, and frames to peers if one is urgent or the flush interval is over. */
    auto sendOutputs(Time now) -> void;

    auto plan() -> MeshPlan& { return plan_; }
    auto plan() const -> const MeshPlan& { return plan_; }
    /** Logs what organisations got of the services placed here since the last call. */
    auto logShares() -> void;

    auto placement() const -> const PlacementCoordinator& { return placement_; }
    auto fleet() const -> const FleetState& { return sync_.fleet(); }
    /** Completes a report that has the router's address and failure domain. */
    auto describe(Time now, FleetReport& report) const -> void;
    /** The router that reads the store for the fleet. */
    auto reader() const -> RouterId { return reader_; }

private:
    /** After a pause in which the others took this router for silent, it takes no role for a time. Called
     * before anything else is done, as frames may be read before the tick is. */
    auto noticePause(Time now) -> void;
    auto heartbeat() const -> PeerHeartbeat;
    /** `routers`: number of live routers, this one included. */
    auto sendHeartbeat(Time now, RouterId router, Duration interval, std::size_t routers) -> void;
    auto sendDueHeartbeats(Time now) -> void;
    /** Tells all peers about a change of this router at once. */
    auto sendHeartbeats(Time now) -> void;
    /** Sends a frame to the routers that depend on this one, and to the hubs if `withHubs`. */
    auto sendUpdate(Time now, PeerFrame frame, bool withHubs) -> void;
    /** Sends a frame from whose age the receiver tells how old its news is. */
    auto sendDated(Time now, RouterId router, PeerFrame& frame) -> void;
    auto announceCandidates(Time now) -> void;

    auto checkLiveness(Time now) -> void;
    auto routersChanged(Time now) -> void;
    auto electReader(std::span<const LiveRouter> candidates) -> void;
    /** The router from which this one gets updates of the configuration and the directory. */
    auto chooseFeed(std::span<const LiveRouter> candidates) const -> RouterId;
    auto updateDependencies(Time now, std::span<const LiveRouter> candidates) -> void;
    /** Routers that may hold roles for the fleet; not empty. */
    auto roleCandidates(Time now) const -> std::vector<LiveRouter>;
    auto isReader() const -> bool { return reader_ == plan_.self(); }

    auto handle(Time now, RequestPlacement request) -> void;
    auto handle(Time now, const PeerReport& report) -> void;
    auto handle(Time now, const PeerAvailability& availability) -> void;
    /** A peer has passed on which engines leave; told on if that is new. */
    auto leavingArrived(Time now, RouterId peer, std::span<const PeerAvailability> reports) -> void;
    /** Records which of the engines leave; returns those of which that is new. */
    auto newlyLeaving(Time now, std::span<const PeerAvailability> reports) -> std::vector<PeerAvailability>;
    /** Logs what placers here have found out about prompt parts, tells the other routers and stores it. */
    auto publishQuarantines(Time now, std::span<const PlacementCoordinator::ServiceQuarantine> found) -> void;
    /** Tells the routers that may place next. */
    auto publishCrashes(Time now, std::vector<PeerCrash> crashes) -> void;
    /** `from`: the router that has told it, or the store. */
    auto logTold(const PeerQuarantine& told, std::string from) -> void;
    /** A peer has told which prompt parts are in quarantine; told on if that is new. */
    auto quarantinesArrived(Time now, RouterId peer, std::span<const PeerQuarantine> told) -> void;
    /** Tells again, as a router may have missed it or learnt of the service since, and repeats calls to the
     * store that have failed.
     */
    auto repeatQuarantines(Time now) -> void;
    auto handle(Time now, DirectoryRead read) -> void;
    auto handle(Time now, ConfigurationRead read) -> void;
    auto handle(Time now, const FleetJoined& joined) -> void;
    auto handle(Time now, const QuarantineStored& stored) -> void;
    auto handle(Time now, const QuarantinesRead& read) -> void;

    auto fleetChanged(Time now) -> void;
    /** Writes again what this router has written to the store, as its older copy may lack it. */
    auto storeReturned(Time now) -> void;
    auto relayChanged(Time now) -> void;
    auto logPlacerChanges(std::span<const PlacementCoordinator::PlacerChange> changes) -> void;
    auto flushFrames(Time now) -> void;

    Handlers handlers_;
    RouterLog& log_;
    RouterMetrics& metrics_;
    SharedState& state_;
    MeshPlan plan_;
    FleetSync sync_;
    PlacementCoordinator placement_;
    PeerTable peers_;
    UpstreamAvailability leaving_;
    /** Non-urgent frames; sent with the next urgent one, or after the flush interval. */
    std::map<RouterId, PeerFrame> unsent_;
    RouterId reader_;
    Time lastTick_ {};
    /** The last tick before the last pause. */
    Time pausedAt_ {};
    /** This router takes no role until then, as the others took it for silent. */
    Time rejoinAt_ {};
    Time nextAnnouncement_ {};
    Time nextQuarantineRepeat_ {};
    /** To be stored once more, as the store did not answer. */
    std::vector<PeerQuarantine> unstoredQuarantines_;
    /** The quarantines of before this process are to be read from the store. */
    bool quarantinesUnread_ = true;
    std::size_t fleetSize_ = 1;
    Time nextFlush_ {};
    bool draining_ = false;
};

} // namespace camphorshunt::router
