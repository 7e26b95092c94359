#pragma once

#include <cstddef>

#include "camphorshunt/fleetreport.h"
#include "camphorshunt/time.h"

#include "fleetsync.h"
#include "hubregistry.h"
#include "peertable.h"
#include "placementcoordinator.h"

namespace camphorshunt::router {

/** Links in one report; a hub of a large fleet has more. */
inline constexpr auto maxReportedLinks = std::size_t { 64 };

/** What a report of the fleet is made from. */
struct FleetSources {
    const HubRegistry& hubs;
    const PeerTable& peers;
    const FleetSync& sync;
    const PlacementCoordinator& placement;
};

/**
 * Adds the routers that this one is connected to or tries to reach: hubs first, then silent ones, and no more
 * than `maxReportedLinks`.
 */
auto describeLinks(Time now, const HubRegistry& hubs, const PeerTable& peers, FleetReport& report) -> void;

/** Completes a report that has the router's address and failure domain. */
auto describeFleet(Time now, const FleetSources& sources, FleetReport& report) -> void;

} // namespace camphorshunt::router
