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

/** Requests an engine for one of this router's requests. */
struct RequestPlacement {
    PeerPlacementRequest place;
};

using RelayToScheduler = std::variant<RequestPlacement, PeerReport, PeerAvailability>;

/** The scheduler's decision on a request for an engine. */
struct PlacementDecided {
    PeerPlacementDecision decision;
};

/** Replaces the relay's configuration and list of upstreams. */
struct FleetChanged {
    std::shared_ptr<const RouteTable> table;
    std::shared_ptr<const UpstreamList> upstreams;
    /** Number of reachable routers, including this one. */
    std::size_t routers = 1;
    /** When the scheduler applied the change. */
    Time appliedAt {};
};

/**
 * Starts a drain: requests in progress are completed; new connections, and requests that might not end before
 * the process, are soon refused.
 */
struct StartDrain {
    /** Time until the process ends. */
    Duration left {};
};

/** An upstream has said to another router that it leaves. */
struct UpstreamLeaves {
    UpstreamProcess process;
};

using SchedulerToRelay = std::variant<PlacementDecided, FleetChanged, StartDrain, UpstreamLeaves>;

} // namespace camphorshunt::router
