#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "camphorshunt/placement.h"
#include "camphorshunt/routetable.h"
#include "camphorshunt/time.h"

#include "peerframe.h"
#include "placer.h"
#include "relaymessages.h"

namespace camphorshunt::router {

/** A router that may place requests, with its part of the processor. */
struct LiveRouter {
    RouterId router;
    double processorShare = 1;
};

/** The router that places a service's requests: weighted rendezvous hashing over the live ones. */
auto placerOf(ServiceId service, std::span<const LiveRouter> routers) -> RouterId;

/**
 * Where requests for engines are placed. One router places all requests of a service; which one follows from
 * who is live, so that two may place for a moment, which costs some order but breaks no promise. This
 * router's own requests go to the one that places, and go to another when that changes. No sockets, no clock.
 */
class PlacementCoordinator {
public:
    struct Outputs {
        /** For this router's relay. */
        std::vector<PeerPlacementDecision> placementDecisions;
        std::map<RouterId, PeerFrame> frames;
        /** A frame holds something that a request waits for. */
        bool urgent = false;
    };

    PlacementCoordinator(RouterId self, const Placer::Settings& settings);

    auto setFleet(Time now, const RouteTable& table, const UpstreamList& upstreams) -> void;
    /** Routers in touch, this one among them; `known`: how many there were of late. */
    auto setRouters(Time now, std::vector<LiveRouter> live, std::size_t recentCount) -> void;
    /** What that router had running or waiting has ended. */
    auto removeRouter(Time now, RouterId router) -> void;

    /** A request of this router. */
    auto requestPlacement(Time now, PeerPlacementRequest placement) -> void;
    /** What became of a request of this router. */
    auto report(Time now, const PeerReport& report) -> void;
    auto handleFrame(Time now, RouterId peer, const PeerFrame& frame) -> void;

    /** Places what can be placed. */
    auto placeWaiting(Time now) -> void;
    auto takeOutputs() -> Outputs { return std::exchange(outputs_, {}); }
    /** Requests that wait at placers here. */
    auto waiting() const -> std::size_t;

private:
    /** A request of this router, from its asking to its end. */
    struct OwnRequest {
        PlacementRequest request;
        /** The router that was asked, or told of it. */
        RouterId placer;
        std::optional<UpstreamId> upstream;
        bool started = false;
    };
    using OwnRequests = std::map<std::uint64_t, OwnRequest>;
    struct Service {
        std::unique_ptr<Placer> placer;
        RouterId owner;
        /** Before this the placer does not know yet what runs. */
        Time handoverEnd {};
    };

    auto service(ServiceId id) -> Service&;
    auto sendToPlacer(Time now, OwnRequest& own) -> void;
    auto withdraw(Time now, const OwnRequest& own) -> void;
    auto applyReport(Time now, const PlacementKey& key, const PeerReport& report) -> void;
    auto handleDecision(RouterId peer, const PeerPlacementDecision& decision) -> void;
    /** The verdict on a request of this router. */
    auto reportToRelay(OwnRequests::iterator own, const PeerPlacementDecision& decision) -> void;
    auto routeDecision(ServiceId service, const PlacementVerdict& decision) -> void;

    RouterId self_;
    Placer::Settings settings_;
    std::vector<LiveRouter> live_;
    double fraction_ = 1;
    std::map<ServiceId, Service> services_;
    OwnRequests ownRequests_;
    Outputs outputs_;
};

} // namespace camphorshunt::router
