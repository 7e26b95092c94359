#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "placer.h"
#include "placingoutcome.h"
#include "placingplan.h"
#include "requestsource.h"
#include "simulatedengine.h"
#include "upstreamavailability.h"

namespace camphorshunt::load {

/** Simulates a plan with the routers' placement code, in simulated time and on one thread. */
class PlacingRun {
public:
    explicit PlacingRun(const PlacingPlan& plan);

    /** Simulates the complete plan; call once. */
    auto run() -> void;
    auto outcome() const -> const PlacingOutcome& { return outcome_; }

private:
    struct Engine {
        UpstreamEntry entry;
        SimulatedEngine simulated;
        bool crashed = false;
        bool leaving = false;
        Time restsUntil {};
    };
    /** A request that has been sent, for the first time or as a retry, and has not ended. */
    struct LiveRequest {
        SimulatedRequest request;
        std::size_t placer = 0;
        std::optional<std::size_t> engine;
        /** The engine's process that the placer chose. */
        UpstreamId upstream;
        Time placedAt;
        Duration predicted {};
        bool started = false;
        bool late = false;
    };
    using LiveRequests = absl::flat_hash_map<PlacementKey, LiveRequest>;

    auto schedule(Time when, std::function<void()> action) -> void
    {
        events_.emplace(when, std::move(action));
    }
    auto hopTime(std::size_t domain, std::size_t other) const -> Duration;
    auto placerOf(const SimulatedRequest& request) const -> std::size_t;
    auto makePlacer(std::size_t index) const -> std::unique_ptr<Placer>;
    auto entriesOf(std::size_t placer) const -> std::vector<UpstreamEntry>;
    auto scheduleFailures() -> void;
    auto beginFailure(const PlannedFailure& failure) -> void;
    auto endFailure(const PlannedFailure& failure) -> void;
    auto killDispatcher(std::size_t index) -> void;
    auto beginRelease(const PlannedFailure& failure) -> void;
    auto replaceEngine(std::size_t engine) -> void;
    /** Sends the current directory to all placers. */
    auto publishEntries() -> void;
    auto notifyPlacers(std::size_t router, const std::function<void(Placer&, Time)>& action) -> void;
    /** Records what an answer of the engine says besides, as seen by the router now. */
    auto heedAnswer(std::size_t router, std::size_t engine) -> void;
    /** Whether the router may send to the engine, by the answers that it has seen. */
    auto maySend(const LiveRequest& live) const -> bool;

    auto send(SimulatedRequest request) -> void;
    auto submit(const PlacementKey& key) -> void;
    auto placeWaiting(std::size_t placer) -> void;
    auto handlePlaced(const PlacementAccepted& placed) -> void;
    auto submitToEngine(const PlacementKey& key, std::optional<UpstreamId> copyFrom) -> void;
    auto handleRefused(const PlacementRefused& refused) -> void;
    auto handleEngineEvent(std::size_t engine, const EngineEvent& event) -> void;
    auto finish(LiveRequests::iterator live, RequestFate fate) -> void;
    /**
     * Handles a failure of the request's engine. The request is placed on another engine, unless it may have
     * been executed and is not repeatable.
     */
    auto handleEngineFailure(const PlacementKey& key, PlacementEnd end) -> void;
    auto notifyPlacer(const LiveRequest& live, std::function<void(Placer&, Time)> action) -> void;
    auto stepEngines() -> void;

    const PlacingPlan& plan_;
    RequestSource source_;
    PlacingOutcome outcome_;
    std::vector<Engine> engines_;
    absl::flat_hash_map<UpstreamId, std::size_t> engineIndex_;
    std::vector<std::unique_ptr<Placer>> placers_;
    /** Indexed by router. */
    std::vector<UpstreamAvailability> availability_;
    LiveRequests live_;
    std::multimap<Time, std::function<void()>> events_;
    Time now_ {};
    std::uint64_t nextRetryNumber_;
    std::uint64_t tokensCopied_ = 0;
    std::uint64_t replaced_ = 0;
};

} // namespace camphorshunt::load
