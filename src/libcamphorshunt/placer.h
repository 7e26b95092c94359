#pragma once

#include <cstdint>
#include <random>
#include <span>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include "camphorshunt/fleetconfiguration.h"
#include "camphorshunt/placement.h"
#include "camphorshunt/upstreamentry.h"

#include "enginemodel.h"
#include "organisationqueues.h"

namespace camphorshunt {

/**
 * Places the requests of one model service on its engines. It answers overload: requests wait here,
 * by organisation, and an engine gets the next one only when it has nearly read the prompts it has, since
 * engines admit in order of arrival. What can't be on time is refused, at once where that is known.
 */
class Placer {
public:
    struct Settings {
        /** Unread prompts that an engine may hold when a request is placed on it. */
        Duration backlogLimit = std::chrono::milliseconds(20);
        /** Time after which service that an organisation had is forgotten. */
        Duration shareWindow = std::chrono::milliseconds(2000);
        /** How long after its goal a request may still begin, if no other one could be on time there. */
        Duration maxLateness = std::chrono::milliseconds(600);
        /** Reading a part anew costs others' time as well as the request's own. */
        double prefillWeight = 1.5;
        /** Copies are paid for, so that their time counts more. */
        double copyWeight = 2.0;
        std::uint64_t seed = 1;
    };

    explicit Placer(const Settings& settings);

    auto setTraits(const EngineTraits& traits, double serviceTokensPerSecond) -> void;
    /** All engines of the service; those not listed are gone. */
    auto setUpstreams(Time now, std::span<const UpstreamEntry> entries) -> void;
    /** The part of each engine that is this placer's, when several place at once. */
    auto setFraction(double fraction) -> void;

    auto submit(Time now, PlacementRequest request) -> void;
    auto withdraw(const PlacementKey& key) -> void;
    auto adoptRequest(Time now, const RunningRequest& running) -> void;
    auto onStarted(Time now, const PlacementKey& key) -> void;
    auto onEnded(Time now, const PlacementKey& key, PlacementEnd end) -> void;
    /** Its requests have ended with it. */
    auto removeRouter(Time now, RouterId router) -> void;

    /** Places and refuses what can be; call it after events, and every few milliseconds while some wait. */
    auto placeWaiting(Time now) -> std::vector<PlacementDecision>;

    /** In order, so that the same events lead to the same decisions. */
    using EngineModels = absl::btree_map<UpstreamId, EngineModel>;

    auto waiting() const -> std::size_t { return queues_.size(); }
    auto running() const -> std::size_t { return upstreamOf_.size(); }
    auto engines() const -> const EngineModels& { return engines_; }

private:
    struct Choice {
        EngineModel* engine = nullptr;
        /** Engine to copy the beginning of the prompt from, and how many tokens that spares. */
        std::optional<UpstreamId> copyFrom;
        std::uint32_t copied = 0;
        /** Tokens that the engine need not read, those copied among them. */
        std::uint32_t cached = 0;
        /** Until it has read the prompts before. */
        Duration backlog {};
    };

    /** The engine that keeps most of a prompt. */
    struct CacheHolder {
        UpstreamId upstream;
        std::uint32_t tokens = 0;
    };

    auto chooseEngine(Time now, const WaitingRequest& waiting) -> Choice;
    auto findCacheHolder(Time now, const WaitingRequest& waiting) const -> CacheHolder;
    auto placeRequest(Time now, WaitingRequest waiting, const Choice& choice) -> void;
    /** The requests that can be on time, or those that can't any more. */
    enum class Timeliness : std::uint8_t { OnTime, Late };

    /** The organisations that are well behind in service, or all. */
    enum class OrganisationFilter : std::uint8_t { Underserved, All };

    auto placeAll(Time now, OrganisationFilter filter, Timeliness timeliness) -> void;
    auto placeOneOf(Time now, OrganisationId organisation, Timeliness timeliness, std::size_t& scansLeft)
        -> bool;
    auto refuse(Time now, const WaitingRequest& waiting, RefusalReason reason) -> void;
    auto refuseLate(Time now) -> void;
    auto firstTokenTimeOf(const PlacementRequest& request) const -> Duration;
    auto expectedWait(Time now, const WaitingRequest& waiting) const -> Duration;
    auto retryAfter(Time now, const WaitingRequest& waiting) -> std::chrono::milliseconds;
    auto initialPrefillRate(std::size_t engines) const -> double;
    /** Cost placed of late, faded to now. */
    auto decayedCost(Time now) const -> double;
    auto recordThroughput(Time now, double cost) -> void;

    Settings settings_;
    EngineTraits traits_;
    double serviceTokensPerSecond_ = 0;
    double fraction_ = 1.0;
    EngineModels engines_;
    absl::flat_hash_map<PlacementKey, UpstreamId> upstreamOf_;
    OrganisationQueues queues_;
    std::vector<PlacementDecision> decisions_;
    /** Cost placed of late, fading over `throughputWindow`. */
    double recentCost_ = 0;
    Time recentCostAt_ {};
    std::mt19937_64 random_;
};

} // namespace camphorshunt
