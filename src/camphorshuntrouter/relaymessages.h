#pragma once

#include <memory>
#include <variant>
#include <vector>

#include "camphorshunt/placement.h"
#include "camphorshunt/routetable.h"
#include "camphorshunt/upstreamentry.h"

#include "peerframe.h"

namespace camphorshunt::router {

using UpstreamList = std::vector<UpstreamEntry>;

/** A request of this router asks for an engine. */
struct RequestPlacement {
    PeerPlace place;
};

using RelayToScheduler = std::variant<RequestPlacement, PeerReport>;

/** Sends what the scheduler decided of a request. */
struct PlacementDecided {
    PeerVerdict decision;
};

/** What the relay works with from now on. */
struct FleetChanged {
    std::shared_ptr<const RouteTable> table;
    std::shared_ptr<const UpstreamList> upstreams;
    /** Routers in touch, this one among them. */
    std::size_t routers = 1;
};

/** Finish what is there; take nothing that would last. */
struct StartDrain { };

using SchedulerToRelay = std::variant<PlacementDecided, FleetChanged, StartDrain>;

} // namespace camphorshunt::router
