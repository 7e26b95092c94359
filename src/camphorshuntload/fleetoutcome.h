#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "camphorshunt/time.h"

namespace camphorshunt::load {

/** What a simulated fleet did from one event to the next. */
struct FleetPhase {
    std::string name;
    Time from;
    /** Longest time during which a live router had no live placer that it reached and that placed for it. */
    Duration unserved {};
    /** Longest time during which live routers that reach each other named different placers. */
    Duration disagreed {};
    /** Time until the last live router had the newest configuration. */
    Duration outdated {};
    std::uint64_t mostAccepted = 0;
    std::uint64_t mostStoreCalls = 0;
};

/** What a router held and sent a second in the steady state. */
struct FleetLoad {
    double framesSent = 0;
    double framesReceived = 0;
    double bytesSent = 0;
    double bytesReceived = 0;
    std::size_t connections = 0;
    /** Real time of the code for a second of simulated time, in per cent. */
    double processor = 0;
};

/** Results of the simulation of one fleet. */
struct FleetOutcome {
    std::size_t routers = 0;
    std::vector<FleetPhase> phases;
    /** The small router that sent and received most, the busiest hub, and the placer. */
    FleetLoad small;
    FleetLoad hub;
    FleetLoad placer;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t grantedTwice = 0;
    /** Requests without a decision, although their router ran all the time. */
    std::uint64_t lost = 0;
    Duration longestWait {};
    /** Places that a router granted in the time after a pause in which it takes no role. */
    std::uint64_t grantsAfterPause = 0;
    Duration realTime {};

    auto phase(const std::string& name) const -> const FleetPhase*;
    auto text() const -> std::string;
    auto json() const -> boost::json::object;
};

} // namespace camphorshunt::load
