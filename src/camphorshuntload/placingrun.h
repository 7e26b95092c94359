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

namespace camphorshunt::load {

/** Plays a plan in simulated time with the code that places requests in the routers. */
class PlacingRun {
public:
    explicit PlacingRun(const PlacingPlan& plan);

    /** Plays the whole plan. */
    auto run() -> void;
    auto outcome() const -> const PlacingOutcome& { return outcome_; }

private:
    struct Engine {
        UpstreamEntry entry;
        SimulatedEngine simulated;
        bool crashed = false;
    };
    /** A request between its first sending or its return and its end. */
    struct LiveRequest {
        SimulatedRequest request;
        std::size_t placer = 0;
        std::optional<std::size_t> engine;
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
    auto scheduleFailures() -> void;
    auto beginFailure(const PlannedFailure& failure) -> void;
    auto endFailure(const PlannedFailure& failure) -> void;
    auto killDispatcher(std::size_t index) -> void;

    auto send(SimulatedRequest request) -> void;
    auto submit(const PlacementKey& key) -> void;
    auto placeWaiting(std::size_t placer) -> void;
    auto handlePlaced(const Placed& placed) -> void;
    auto submitToEngine(const PlacementKey& key, std::optional<UpstreamId> copyFrom) -> void;
    auto handleRefused(const PlacementRefused& refused) -> void;
    auto handleEngineEvent(std::size_t engine, const EngineEvent& event) -> void;
    auto finish(LiveRequests::iterator live, RequestFate fate) -> void;
    /** Its engine failed it: tries elsewhere if it has not begun or may run twice. */
    auto handleEngineFailure(const PlacementKey& key, PlacementEnd end) -> void;
    auto notifyPlacer(const LiveRequest& live, std::function<void(Placer&, Time)> action) -> void;
    auto stepEngines() -> void;

    const PlacingPlan& plan_;
    RequestSource source_;
    PlacingOutcome outcome_;
    std::vector<Engine> engines_;
    absl::flat_hash_map<UpstreamId, std::size_t> engineIndex_;
    std::vector<std::unique_ptr<Placer>> placers_;
    LiveRequests live_;
    std::multimap<Time, std::function<void()>> events_;
    Time now_ {};
    std::uint64_t nextRetryNumber_;
    std::uint64_t tokensCopied_ = 0;
};

} // namespace camphorshunt::load
