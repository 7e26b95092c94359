#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/fleetconfiguration.h"
#include "camphorshunt/placement.h"
#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

#include "promptcache.h"
#include "warmup/warmuprate.h"

namespace camphorshunt {

/** Estimated times of a request on one engine. */
struct PlacementEstimate {
    /** Time until the engine has prefilled the preceding prompts. */
    Duration backlog {};
    /** Time to prefill the tokens of the prompt that are not cached. */
    Duration prefill {};
};

/**
 * A placer's model of one engine, derived from the requests placed on it: slots and memory in use, pending
 * prefills, cached prompt parts, and the prefill rate, which is learnt from the times of first tokens.
 */
class EngineModel {
public:
    /** `index` lists the engine's prefilled parts; it must outlive the model. */
    EngineModel(
        UpstreamEntry entry, const EngineTraits& traits, double prefillTokensPerMs, PromptCacheIndex& index);

    auto entry() const -> const UpstreamEntry& { return entry_; }
    auto setEntry(Time now, UpstreamEntry entry) -> void;
    auto setTraits(const EngineTraits& traits) -> void { traits_ = traits; }
    /** Sets the fraction of the slots that this placer may use. Below 1, when several placers act
     * independently, it also places no request while a prefill is pending.
     */
    auto setFraction(double fraction) -> void { fraction_ = fraction; }
    auto warmup() -> WarmupRate& { return warmup_; }
    auto warmup() const -> const WarmupRate& { return warmup_; }

    /** Tokens at the beginning of a prompt that the engine has cached. */
    auto cachedTokens(const Prompt& prompt, std::span<const PromptCache::Chain> chains) const
        -> std::uint32_t;
    /** Tokens at the beginning of a prompt that another engine can copy from this one. */
    auto copyableTokens(const Prompt& prompt, std::span<const PromptCache::Chain> chains) const
        -> std::uint32_t;
    /** `cached`: tokens of the prompt that need no prefill on this engine. */
    auto estimate(Time now, const Prompt& prompt, std::uint32_t cached) const -> PlacementEstimate;
    /**
     * True if the engine may be used, a slot is free and the pending prefills take at most `backlogLimit`,
     * plus the extra time that a request to the engine and the reports from it are in flight.
     */
    auto hasRoom(Time now, Duration backlogLimit) const -> bool;
    /** True if the prompt fits the free memory. */
    auto hasMemoryFor(const Prompt& prompt, std::span<const PromptCache::Chain> chains) const -> bool;
    /** True if the prompt exceeds the engine's memory even when the engine is idle. */
    auto isTooSmallFor(const Prompt& prompt) const -> bool;

    /** Records a placed request. `copied`: tokens at the beginning of the prompt copied from another engine.
     */
    auto beginRequest(Time now, const PlacementKey& key, const Prompt& prompt,
        std::vector<PromptCache::Chain> chains, std::uint32_t copied) -> void;
    /** Records a request that was placed by another placer; `started`: its first token was received. */
    auto adoptRequest(Time now, const PlacementKey& key, const Prompt& prompt,
        std::vector<PromptCache::Chain> chains, bool started) -> void;
    /** Handles the first token of a request. */
    auto onStarted(Time now, const PlacementKey& key) -> void;
    /** `isEngineAtFault`: false if the failure, if any, is the router's. */
    auto onEnded(Time now, const PlacementKey& key, PlacementEnd end, bool isEngineAtFault = true) -> void;
    auto removeRouter(Time now, RouterId router) -> void;

    /** True while no requests are placed on the engine, after failures or overdue first tokens. When the
     * suspension ends, one request is placed as a probe.
     */
    auto isSuspended(Time now) const -> bool { return now < suspendedUntil_; }
    /** True while a request has not started after a failure with no success since: the engine may be faulty.
     */
    auto isOnProbation() const -> bool { return failures_ > 0 && !pendingPrefills_.empty(); }
    /** When `overdueRequest` begins to return a request, unless the engine's requests change before;
     * `Time::max()` if no first token is expected.
     */
    auto overdueAt() const -> Time;
    /** The request whose prefill is the oldest pending one, if its first token is long overdue. */
    auto overdueRequest(Time now) const -> std::optional<PlacementKey>;
    /** A request has started since the engine can have begun the oldest pending prefill: it is not stuck. */
    auto startsOthers() const -> bool;
    /** Suspends the engine after an overdue first token. */
    auto suspendOverdue(Time now) -> void;
    /** Assumes that a request has not reached the engine yet: its prefill follows the other pending ones. */
    auto postpone(Time now, const PlacementKey& key) -> void;

    /** Empties the cache, also in the index. Call it before the model is destroyed. */
    auto clearCache() -> void { cache_.clear(); }

    auto failureDomain() const -> std::uint64_t { return failureDomain_; }
    auto running() const -> std::size_t { return running_.size(); }
    auto slots() const -> std::size_t;
    auto prefillTokensPerMs() const -> double { return prefillRate_; }
    /** Time by which reports from the engine arrive later than from a nearby engine. */
    auto extraLag() const -> Duration;

private:
    struct Running {
        std::vector<PromptCache::Chain> chains;
        std::uint64_t privateTokens = 0;
        bool started = false;
    };
    struct PendingPrefill {
        PlacementKey key;
        std::uint32_t tokens = 0;
        Time placedAt;
        /** Earliest time at which the engine can have started the prefill. */
        Time begunAt;
        /** Time from placement to the end of the prefill, as estimated at placement. */
        Duration expected {};
    };

    auto prefillTime(double tokens) const -> Duration;
    auto backlog(Time now) const -> Duration;
    auto learnFrom(Time now, const PendingPrefill& pending) -> void;
    auto removePendingPrefill(Time now, const PlacementKey& key) -> void;
    auto removeRequest(Time now, absl::flat_hash_map<PlacementKey, Running>::iterator found) -> void;
    /** Suspends the engine for `minLength`, doubled for each consecutive failure up to a maximum. */
    auto suspend(Time now, Duration minLength) -> void;

    UpstreamEntry entry_;
    WarmupRate warmup_;
    /** Hash of the entry's failure domain. */
    std::uint64_t failureDomain_;
    EngineTraits traits_;
    double fraction_ = 1.0;
    double prefillRate_;
    /** Learnt time from placement to the report of the first token, excluding prefill. */
    Duration lag_;
    PromptCache cache_;
    absl::flat_hash_map<PlacementKey, Running> running_;
    /** In order of placement, which is the order in which engines prefill. */
    std::deque<PendingPrefill> pendingPrefills_;
    std::uint64_t pendingPrefillTokens_ = 0;
    /** Memory that running requests need besides their prompt parts, in tokens. */
    std::uint64_t privateTokens_ = 0;
    std::uint32_t failures_ = 0;
    Time suspendedUntil_ {};
    /** When the first token of a request last arrived. */
    Time lastStart_ {};
};

} // namespace camphorshunt
