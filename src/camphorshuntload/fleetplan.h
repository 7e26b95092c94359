#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/result.h"

namespace camphorshunt::load {

/** Something that happens to a simulated fleet. */
struct FleetEvent {
    enum class Kind : std::uint8_t {
        /** The VMs lose power; their processes start again after `length`, if that is not zero. */
        PowerOff,
        /** The processes are killed and start again, spread over `length`. */
        Restart,
        Pause,
        /** All that the processes do is delayed by `delay`. */
        Slow,
        /** Nothing of the routers reaches the others. */
        CutOneWay,
        /** The fleet is cut in two halves. */
        CutInHalves,
        /** A third of all pairs of routers do not reach each other. */
        CutLinks,
        /** A configuration is published. */
        Publish,
    };
    enum class Group : std::uint8_t { All, Third, Hubs, Domain, Large, Placer };

    std::string name;
    Kind kind {};
    Group group {};
    std::chrono::milliseconds at {};
    std::chrono::milliseconds length {};
    std::chrono::milliseconds delay {};
};

/** A fleet of routers to be simulated, and what happens to it. */
struct FleetPlan {
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration {};
    /** Each of these sizes is simulated. */
    std::vector<std::size_t> sizes;
    /** One in this many routers is large. */
    std::size_t largeEvery = 16;
    double largeShare = 0.5;
    double smallShare = 0.12;
    std::size_t failureDomains = 3;
    std::size_t engines = 60;
    /** Requests a second in the whole fleet. */
    double rate = 0;
    double hopMs = 0.2;
    double otherDomainHopMs = 1.0;
    double storeMs = 2.0;
    /** All routers start within this time. */
    std::chrono::milliseconds startSpread { 300 };
    std::vector<FleetEvent> events;

    /** JSON with comments; errors name `file` and the field. */
    static auto parse(std::string_view text, std::string_view file) -> Result<FleetPlan>;
    static auto load(const std::string& file) -> Result<FleetPlan>;
};

} // namespace camphorshunt::load
