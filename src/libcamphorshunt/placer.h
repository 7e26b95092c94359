#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include "camphorshunt/fleetconfiguration.h"
#include "camphorshunt/placement.h"
#include "camphorshunt/upstreamentry.h"

#include "duetimes.h"
#include "enginemodel.h"
#include "failurerate.h"
#include "organisationqueues.h"
#include "promptquarantine.h"
#include "sharerecord.h"
#include "upstreamavailability.h"

namespace camphorshunt {

/**
 * Places the requests of one model service on its engines and sheds load under overload. Requests wait here
 * in one queue per organisation, since engines admit requests in order of arrival: an engine gets its next
 * request only when it has nearly finished prefilling the prompts it has. Requests that cannot be on time are
 * refused, immediately if that is known when they arrive. Not thread-safe.
 */
class Placer {
public:
    struct Settings {
        /** Maximum pending prefill of an engine at which another request is placed on it. */
        Duration backlogLimit = std::chrono::milliseconds(20);
        /** Time constant with which the recorded service of an organisation decays. */
        Duration shareWindow = std::chrono::milliseconds(2000);
        /** Time after its goal until which a request may still be placed, if no request that can be on time
         * needs the engine.
         */
        Duration maxLateness = std::chrono::milliseconds(600);
        /** Weight of prefill time in the cost of an engine: it delays other requests as well as this one. */
        double prefillWeight = 1.5;
        /** Weight of copy time in the cost of an engine: copies are charged for, so they count more than
         * their duration.
         */
        double copyWeight = 2.0;
        /** What a cold engine can handle beyond its service's rate: see `WarmupLimits`. */
        double coldOvershoot = 1;
        double coldSlack = 0;
        std::uint64_t seed = 1;
    };

    explicit Placer(const Settings& settings);

    auto setTraits(const EngineTraits& traits, double serviceTokensPerSecond) -> void;
    /** Sets all engines of the service; engines that are not listed are removed with their requests. */
    auto setUpstreams(Time now, std::span<const UpstreamEntry> entries) -> void;
    /** Sets the fraction of each engine's slots that this placer may use when several placers are active. */
    auto setFraction(double fraction) -> void;

    /** Queues a request or refuses it; `placeWaiting` returns the decision. */
    auto submit(Time now, PlacementRequest request) -> void;
    /** Removes a waiting request without a decision. */
    auto withdraw(const PlacementKey& key) -> void;
    /** Records a request that another placer has placed; ignored if the engine is not listed. */
    auto adoptRequest(Time now, const RunningRequest& running) -> void;
    /** Handles the first token of a placed request. */
    auto onStarted(Time now, const PlacementKey& key) -> void;
    /** Handles the end of a placed request, which frees its slot. */
    auto onEnded(Time now, const PlacementKey& key, PlacementEnd end) -> void;
    /** The engine leaves: it keeps what runs there and gets nothing more. */
    auto recordLeaving(Time now, UpstreamId engine) -> void;
    auto recordLeaving(Time now, const UpstreamProcess& process) -> void;
    /** The engine wants no requests of this router until then, which is not a fault of it. */
    auto recordRest(Time now, UpstreamId engine, RouterId router, Time until) -> void;
    auto recordRest(Time now, const UpstreamProcess& process, RouterId router, Time until) -> void;
    /** See `PromptQuarantine::apply`. */
    auto applyQuarantine(const QuarantinedPart& told) -> bool { return quarantine_.apply(told); }
    /** What was found out since the last call about prompt parts under which engines crash. */
    auto takeQuarantineChanges() -> std::vector<QuarantineChange> { return quarantine_.takeChanges(); }
    auto quarantinedParts() const -> std::vector<QuarantinedPart> { return quarantine_.quarantined(); }
    // See `PromptQuarantine`.
    auto applyCrash(Time now, const CrashReport& told) -> bool { return quarantine_.applyCrash(now, told); }
    auto takeCrashReports() -> std::vector<CrashReport> { return quarantine_.takeCrashReports(); }
    auto crashReports() const -> std::vector<CrashReport> { return quarantine_.crashReports(); }
    auto setPlacesService(Time now, bool places) -> void;
    auto takeEngineQueries() -> std::vector<UpstreamProcess> { return quarantine_.takeQueries(); }
    auto recordEngineQuery(Time now, const UpstreamProcess& engine, const EngineQueryResult& result)
        -> EngineState
    {
        return quarantine_.recordQuery(now, engine, result);
    }
    /** Removes all waiting and placed requests of a router that was lost. */
    auto removeRouter(Time now, RouterId router) -> void;

    /** Places or refuses waiting requests where possible and returns all decisions made since the last call.
     * Call it after events, and every few milliseconds while requests wait.
     */
    auto placeWaiting(Time now) -> std::vector<PlacementDecision>;

    /** Organisations that had requests refused since the last call or have some waiting, those with most of
     * both first; at most `limit`.
     */
    auto takeReports(std::size_t limit) -> std::vector<OrganisationReport>;

    /** Ordered, so that the same events lead to the same decisions. */
    using EngineModels = absl::btree_map<UpstreamId, EngineModel>;

    /** Engines that are cold, and what these got in the last second. */
    struct WarmupReport {
        std::size_t engines = 0;
        std::size_t admitted = 0;
    };
    auto warmupReport(Time now) const -> WarmupReport;

    auto waiting() const -> std::size_t { return queues_.size(); }
    auto running() const -> std::size_t { return placed_.size(); }
    auto engines() const -> const EngineModels& { return engines_; }

private:
    struct Choice {
        EngineModel* engine = nullptr;
        /** Engine from which to copy the beginning of the prompt, and the number of tokens it holds. */
        std::optional<UpstreamId> copyFrom;
        std::uint32_t copied = 0;
        /** Tokens that need no prefill, including copied ones. */
        std::uint32_t cached = 0;
        /** Time until the engine has prefilled the preceding prompts. */
        Duration backlog {};
    };

    /** The engine with the longest cached beginning of a prompt, in tokens. */
    struct CacheHolder {
        UpstreamId upstream;
        std::uint32_t tokens = 0;
    };

    /** A request from its placement to its end. */
    struct PlacedRequest {
        UpstreamId upstream;
        OrganisationId organisation;
        double cost = 0;
        Time placedAt;
        /** Its first token has arrived. */
        bool begun = false;
    };

    auto chooseEngine(Time now, const WaitingRequest& waiting) -> Choice;
    auto findCacheHolder(Time now, const WaitingRequest& waiting) const -> CacheHolder;
    auto placeRequest(Time now, WaitingRequest waiting, const Choice& choice) -> void;
    /** Selects requests that can still be on time, or those that cannot. */
    enum class Timeliness : std::uint8_t { OnTime, Late };

    /** Selects organisations with markedly less recent service than the best served one, or all. */
    enum class OrganisationFilter : std::uint8_t { Underserved, All };

    auto setWarmupLimits(EngineModel& engine) const -> void;
    auto recordNewEngine(Time now, EngineModel& engine) const -> void;
    auto checkOverdue(Time now) -> void;
    /** Suspends the engine if a first token is overdue, unless that is the fault of the request's router. */
    auto checkEngine(Time now, EngineModel& engine) -> void;
    /** Records how a request of the router ended; returns whether a failure is the engine's. */
    auto recordEnd(Time now, RouterId router, PlacementEnd end) -> bool;
    /** False if the router's connections fail and enough of its requests try already. */
    auto mayPlaceFor(Time now, RouterId router) const -> bool;
    auto endPending(const PlacementKey& key, const PlacedRequest& placed) -> void;
    /** Whether a request that ended so before its first token had nothing of the engine's time. */
    auto isWithoutService(Time now, RouterId router, const EngineModel& engine, PlacementEnd end) const
        -> bool;
    /** Finds the engines that may get a request now. */
    auto findOpenEngines(Time now) -> void;
    auto placeAll(Time now, OrganisationFilter filter, Timeliness timeliness) -> void;
    auto placeOneOf(Time now, OrganisationId organisation, Timeliness timeliness, std::size_t& scansLeft)
        -> bool;
    /** `earliest`: before which the caller's next try would fail as well. */
    auto refuse(Time now, const WaitingRequest& waiting, RefusalReason reason, Time earliest = {}) -> void;
    auto isLeaving(const EngineModel& engine) const -> bool;
    /** Whether no engine can serve the request in time as they leave, rest or are too small. */
    auto isUnavailable(Time now, const WaitingRequest& waiting) const -> bool;
    auto refuseUnavailable(Time now, const WaitingRequest& waiting) -> void;
    /** Refuses all that wait and are unavailable. */
    auto refuseAllUnavailable(Time now) -> void;
    /** When the first engine that fits may get this request; none if all leave or fit nothing. */
    auto firstAvailable(Time now, const WaitingRequest& waiting) const -> std::optional<Time>;
    /** The router's engines at rest; null if there are none. */
    auto restsOf(RouterId router) const -> const UpstreamAvailability*;
    auto sweepRests(Time now) -> void;
    auto refuseLate(Time now) -> void;
    /** Refuses all that wait and have a part in quarantine. */
    auto refuseQuarantined(Time now) -> void;
    /** When the request may be placed at the earliest, if a part of its prompt is in quarantine. */
    auto quarantineEnd(Time now, const WaitingRequest& waiting) const -> std::optional<Time>
    {
        return quarantine_.refusedUntil(now, waiting.request.prompt.parts);
    }
    /** A part of its prompt is in quarantine or suspected. */
    auto isHeld(Time now, const WaitingRequest& waiting) const -> bool
    {
        return quarantine_.blockedUntil(now, waiting.request.prompt.parts).has_value();
    }
    auto firstTokenTimeOf(const PlacementRequest& request) const -> Duration;
    /** Estimated time until a request would be placed; zero if none wait or nothing was placed recently. */
    /** All engines for the request rest, and have places for it and for all that wait once they don't. */
    auto hasPlaceAfterRest(Time now, const WaitingRequest& waiting) const -> bool;
    auto expectedWait(Time now, const WaitingRequest& waiting) const -> Duration;
    auto retryAfter(Time now, const WaitingRequest& waiting, Time earliest) -> std::chrono::milliseconds;
    auto initialPrefillRate(std::size_t engines) const -> double;
    /** Cost of recently placed requests, decayed to `now`. */
    auto decayedCost(Time now) const -> double;
    auto recordThroughput(Time now, double cost) -> void;

    Settings settings_;
    EngineTraits traits_;
    double serviceTokensPerSecond_ = 0;
    double fraction_ = 1.0;
    /** The placer before this one may have used the rate of cold engines until then. */
    Time coldHoldUntil_ {};
    /** Outlives the engines, whose caches refer to it. */
    std::unique_ptr<PromptCacheIndex> cacheIndex_ = std::make_unique<PromptCacheIndex>();
    EngineModels engines_;
    /** Used within a pass only. */
    std::vector<EngineModel*> openEngines_;
    absl::flat_hash_map<PlacementKey, PlacedRequest> placed_;
    struct RouterReach {
        /** Whether its requests reach their engines. */
        FailureRate rate;
        /** Its requests that are placed and have not begun. */
        std::size_t pending = 0;
    };
    absl::flat_hash_map<RouterId, RouterReach> reach_;
    UpstreamAvailability leaving_;
    /** By router, as engines ask each router for rest by itself. */
    absl::flat_hash_map<RouterId, UpstreamAvailability> rests_;
    Time nextRestSweep_ {};
    /** When engines are to be checked for overdue first tokens; never later than they are overdue. */
    DueTimes checkTimes_;
    OrganisationQueues queues_;
    ShareRecord shares_;
    PromptQuarantine quarantine_;
    std::vector<PlacementDecision> decisions_;
    /** Cost of recently placed requests as of `recentCostAt_`; decays over `throughputWindow`. */
    double recentCost_ = 0;
    Time recentCostAt_ {};
    /** The earliest `WaitingRequest::refuseAt` may be later than this, but not earlier. */
    Time nextRefusal_ { Time::max() };
    std::mt19937_64 random_;
};

} // namespace camphorshunt
