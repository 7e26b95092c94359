#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <prometheus/registry.h>

#include "fleetoutcome.h"
#include "fleetplan.h"
#include "simulatedrouter.h"

namespace camphorshunt::load {

/** Simulates a fleet with the routers' control code, in simulated time and on one thread. */
class FleetRun {
public:
    FleetRun(const FleetPlan& plan, std::size_t routers);

    /** Simulates the complete plan; call once. */
    auto run() -> void;
    auto outcome() const -> const FleetOutcome& { return outcome_; }

private:
    struct Request {
        std::size_t host = 0;
        std::uint64_t incarnation = 0;
        Time askedAt;
        bool isDecided = false;
        bool isGranted = false;
    };

    auto startAll() -> void;
    auto scheduleEvents() -> void;
    auto begin(const FleetEvent& event) -> void;
    auto beginOn(const FleetEvent& event, std::size_t host) -> void;
    auto end(const FleetEvent& event) -> void;
    auto restart(std::size_t host, Duration at) -> void;
    auto select(FleetEvent::Group group) -> std::vector<std::size_t>;
    auto cutOf(const FleetEvent& event) -> SimulatedNetwork::Cut;
    auto resume(std::size_t host) -> void;

    auto randomPart(Duration longest) -> Duration;
    auto startRouter(std::size_t host) -> void;
    auto ask() -> void;
    auto decided(std::size_t host, const router::PeerPlacementDecision& decision) -> void;
    auto report(std::uint64_t number, router::PeerReportKind kind) -> void;
    auto closeRequest(std::uint64_t number) -> void;

    auto beginPhase(const std::string& name) -> void;
    auto check() -> void;
    auto checkPlacers() -> void;
    auto sampleRates() -> void;
    auto placerOf(std::size_t host) const -> std::optional<std::size_t>;
    auto isServed(std::size_t host) const -> bool;
    auto firstActive() const -> const SimulatedRouter*;
    auto takeWork() const -> std::vector<SimulatedRouter::Work>;
    auto recordSteadyState(const std::vector<SimulatedRouter::Work>& before) -> void;

    const FleetPlan& plan_;
    EventQueue events_;
    std::mt19937_64 random_;
    router::RouterLog log_;
    prometheus::Registry registry_;
    router::RouterMetrics metrics_;
    SimulatedNetwork network_;
    SimulatedStore store_;
    SimulatedRouter::World world_;
    std::vector<std::unique_ptr<SimulatedRouter>> routers_;
    std::vector<std::string> seeds_;
    std::map<const FleetEvent*, std::vector<std::size_t>> affected_;
    /** Half of the fleet in which each router is while it is cut in two. */
    std::vector<std::size_t> half_;
    bool isInHalves_ = false;
    /** Routers of which nothing reaches the others. */
    std::set<std::size_t> mute_;
    std::vector<Time> lastPause_;
    std::map<std::uint64_t, Request> requests_;
    std::uint64_t nextRequest_ = 1;
    std::optional<Time> unservedSince_;
    std::optional<Time> disagreedSince_;
    Time publishedAt_ {};
    std::vector<std::uint64_t> acceptedBefore_;
    FleetOutcome outcome_;
};

} // namespace camphorshunt::load
