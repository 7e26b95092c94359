#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <vector>

#include "camphorshunt/placement.h"
#include "camphorshunt/routetable.h"
#include "camphorshunt/time.h"

#include "peerframe.h"
#include "placer.h"
#include "relaymessages.h"

namespace camphorshunt::router {

/** A reachable router that may place requests; its share of the processor is its weight. */
struct LiveRouter {
    RouterId router;
    double processorShare = 1;
    /** Hash of its failure domain; zero if unknown. */
    std::uint64_t failureDomain = 0;
};

/**
 * The router that places the requests of a service, by weighted rendezvous hashing over those of `routers`
 * that have at least half of the largest share of the processor.
 */
auto placerOf(ServiceId service, std::span<const LiveRouter> routers) -> RouterId;

/** What other routers are told of a prompt part. */
auto toldAt(Time now, ServiceId service, const QuarantinedPart& part) -> PeerQuarantine;
auto toldAt(Time now, ServiceId service, const CrashReport& report) -> PeerCrash;

/**
 * Sends each request for an engine to the router that places its service, and places the requests of the
 * services that this router owns. The owner of a service follows from the set of live routers. While routers
 * disagree on that set, two may place for one service; requests may then be served out of order, but no
 * guarantee is broken. When the owner changes, this router submits its open requests to the new one.
 * Uses no sockets and no clock.
 */
class PlacementCoordinator {
public:
    struct PlacerChange {
        ServiceId service;
        RouterId before;
        RouterId now;
    };
    struct ServiceQuarantine {
        ServiceId service;
        QuarantineChange change;
    };
    /** An engine is to be asked whether it still runs. */
    struct EngineQuery {
        ServiceId service;
        UpstreamProcess engine;
    };
    struct Outputs {
        /** Decisions on requests of this router, for its relay. */
        std::vector<PeerPlacementDecision> placementDecisions;
        std::map<RouterId, PeerFrame> frames;
        std::vector<PlacerChange> placerChanges;
        /** What placers here have found out about prompt parts under which engines crash. */
        std::vector<ServiceQuarantine> quarantines;
        /** What placers here have seen of requests that broke off, for the routers that may place next. */
        std::vector<PeerCrash> crashes;
        std::vector<EngineQuery> engineQueries;
        /** For each frame at most one service that it names and that the configuration does not have. */
        std::vector<std::pair<RouterId, ServiceId>> unknownServices;
        /** A frame contains something that a request waits for. */
        bool urgent = false;
    };

    PlacementCoordinator(RouterId self, const Placer::Settings& settings);

    auto setFleet(Time now, const RouteTable& table, const UpstreamList& upstreams) -> void;
    struct Routers {
        /** Those that may place requests; not empty. */
        std::vector<LiveRouter> candidates;
        /** Number of reachable hubs, this router included. */
        std::size_t live = 1;
        /** Number of hubs seen recently, reachable or not. */
        std::size_t recent = 1;
    };
    /** The placers use only the reachable routers' fraction of each engine. */
    auto setRouters(Time now, Routers routers) -> void;
    /** Ends all requests of a disconnected router that run or wait here. */
    auto removeRouter(Time now, RouterId router) -> void;

    /** Requests an engine for a request of this router. */
    auto requestPlacement(Time now, PeerPlacementRequest placement) -> void;
    /** Reports that a request of this router was withdrawn, started or ended. */
    auto report(Time now, const PeerReport& report) -> void;
    /** Records, with the placer of its service, what an engine has said to this router. */
    auto reportAvailability(Time now, const PeerAvailability& availability) -> void;
    /** Applies what another router knows of a prompt part; returns whether it was new here. */
    auto applyQuarantine(Time now, const PeerQuarantine& told) -> bool;
    /** Prompt parts in quarantine of the services that this router places. */
    auto quarantines(Time now) const -> std::vector<PeerQuarantine>;
    /** Applies what the router that places has seen of a request that broke off. */
    auto applyCrash(Time now, const PeerCrash& told) -> void;
    /** Applies what came of a query; returns what follows for the engine. */
    auto recordEngineQuery(Time now, const EngineQuery& query, const EngineQueryResult& result)
        -> EngineState;
    /** Crashes of engines of the services that this router places. */
    auto crashes(Time now) const -> std::vector<PeerCrash>;
    auto handleFrame(Time now, RouterId peer, const PeerFrame& frame) -> void;

    auto placeWaiting(Time now) -> void;
    /** Places nothing until the other routers have reported what has changed, as after a change of placer. */
    auto holdPlacing(Time now) -> void;
    auto takeOutputs() -> Outputs { return std::exchange(outputs_, {}); }
    struct ServiceReport {
        ServiceId service;
        std::vector<OrganisationReport> organisations;
    };
    /** Of the services that this router places; see `Placer::takeReports`. */
    auto takeReports(std::size_t limit) -> std::vector<ServiceReport>;
    /** Number of requests that wait at this router's placers. */
    auto waiting() const -> std::size_t;
    /** Cold engines of the services that this router places. */
    auto warmupReport(Time now) const -> Placer::WarmupReport;
    /** Number of services whose requests this router places. */
    auto ownedServices() const -> std::size_t;
    /** The router that places the requests of the service; empty if none have been placed yet. */
    auto placerOfService(ServiceId service) const -> std::optional<RouterId>;
    /** The routers that place the requests of this one; may include this router. */
    auto placers() const -> std::set<RouterId>;

private:
    /** A request of this router, from its placement request to its end. */
    struct OwnRequest {
        PlacementRequest request;
        /** The router that received the placement request. */
        RouterId placer;
        std::optional<UpstreamId> upstream;
        bool started = false;
    };
    using OwnRequests = std::map<std::uint64_t, OwnRequest>;
    struct Service {
        std::unique_ptr<Placer> placer;
        RouterId owner;
        /** The placer waits until then for the other routers to report their running requests. */
        Time handoverEnd {};
    };

    auto service(ServiceId id) -> Service&;
    /** Tells the new placer of a service what this one knows of crashes. */
    auto handOverEvidence(Time now, ServiceId id, const Service& service) -> void;
    static auto crashesOf(Time now, ServiceId id, const Placer& placer) -> std::vector<PeerCrash>;
    /** Applies crashes of services that the configuration did not have yet. */
    auto applyEarlyCrashes(Time now) -> void;
    /** Refuses the requests of a frame for services that do not exist. Returns true if there are any. */
    auto refuseUnknown(RouterId peer, const PeerFrame& frame) -> bool;
    auto sendToPlacer(Time now, OwnRequest& own) -> void;
    auto withdraw(Time now, const OwnRequest& own) -> void;
    /** `router`: to which the engine has said it. */
    auto applyAvailability(Time now, RouterId router, const PeerAvailability& availability) -> void;
    auto applyReport(Time now, const PlacementKey& key, const PeerReport& report) -> void;
    auto handleDecision(RouterId peer, const PeerPlacementDecision& decision) -> void;
    /** Passes on the decision on a request of this router. */
    auto reportToRelay(OwnRequests::iterator own, const PeerPlacementDecision& decision) -> void;
    auto routeDecision(ServiceId service, const PlacementDecision& decision) -> void;

    RouterId self_;
    Placer::Settings settings_;
    std::vector<LiveRouter> candidates_;
    double fraction_ = 1;
    std::map<ServiceId, Service> services_;
    OwnRequests ownRequests_;
    std::vector<std::pair<ServiceId, CrashReport>> earlyCrashes_;
    Outputs outputs_;
};

} // namespace camphorshunt::router
