#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/fleetconfiguration.h"
#include "camphorshunt/placement.h"
#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

#include "promptcache.h"

namespace camphorshunt {

/** What a request would cost on one engine. */
struct PlacementEstimate {
    /** Until the engine has read the prompts that came before. */
    Duration backlog {};
    /** To read what the engine does not keep of the prompt. */
    Duration prefill {};
};

/**
 * One model engine as seen from the requests placed on it: slots and memory in use, prompts still unread,
 * kept prompt parts, and the rate at which it reads, learnt from when first tokens come.
 */
class EngineModel {
public:
    EngineModel(UpstreamEntry entry, const EngineTraits& traits, double prefillTokensPerMs);

    auto entry() const -> const UpstreamEntry& { return entry_; }
    auto setEntry(Time now, UpstreamEntry entry) -> void;
    auto setTraits(const EngineTraits& traits) -> void { traits_ = traits; }
    /** The part of slots and backlog that the placer may use, when several place on their own. */
    auto setFraction(double fraction) -> void { fraction_ = fraction; }

    /** Tokens at the beginning of a prompt that the engine need not read. */
    auto cachedTokens(const Prompt& prompt, std::span<const PromptCache::Chain> chains) const
        -> std::uint32_t;
    /** Tokens at the beginning of a prompt that another engine can copy from this one. */
    auto copyableTokens(const Prompt& prompt, std::span<const PromptCache::Chain> chains) const
        -> std::uint32_t;
    /** `cached`: tokens of the prompt that need not be read there. */
    auto estimate(Time now, const Prompt& prompt, std::uint32_t cached) const -> PlacementEstimate;
    /**
     * There is a slot and memory, and the unread prompts take at most `backlogLimit`, and the time that it
     * takes to hear of them.
     */
    auto admits(Time now, const Prompt& prompt, std::span<const PromptCache::Chain> chains,
        Duration backlogLimit) const -> bool;
    /** Could never hold this prompt, however idle it is. */
    auto isTooSmallFor(const Prompt& prompt) const -> bool;

    /** `copied`: tokens at the beginning of the prompt that it gets from another engine. */
    auto beginRequest(Time now, const PlacementKey& key, const Prompt& prompt,
        std::vector<PromptCache::Chain> chains, std::uint32_t copied) -> void;
    /** The same for a request that has run for a while. */
    auto adoptRequest(Time now, const PlacementKey& key, const Prompt& prompt,
        std::vector<PromptCache::Chain> chains, bool started) -> void;
    /** The first token came. */
    auto onStarted(Time now, const PlacementKey& key) -> void;
    auto onEnded(Time now, const PlacementKey& key, PlacementEnd end) -> void;
    auto removeRouter(Time now, RouterId router) -> void;

    /** Takes no requests for now, after failures or silence; one is let through now and then as a probe. */
    auto isSuspended(Time now) const -> bool { return now < suspendedUntil_; }
    /** The last failure has not been followed by a success: whether the engine is well is not known. */
    auto isOnProbation() const -> bool { return failures_ > 0 && !running_.empty(); }
    /** Suspends the engine if the first token of its oldest unread prompt is long overdue. */
    auto checkOverdue(Time now) -> bool;

    auto running() const -> std::size_t { return running_.size(); }
    auto slots() const -> std::size_t;
    auto prefillTokensPerMs() const -> double { return prefillRate_; }
    /** By how much news from the engine come later than from one close by. */
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
        /** When the engine can have begun to read it. */
        Time begunAt;
        /** From placing until it is read, as far as was known then. */
        Duration expected {};
    };

    auto prefillTime(double tokens) const -> Duration;
    auto backlog(Time now) const -> Duration;
    auto learnFrom(Time now, const PendingPrefill& pending) -> void;
    auto removePendingPrefill(Time now, const PlacementKey& key) -> void;
    auto removeRequest(Time now, absl::flat_hash_map<PlacementKey, Running>::iterator found) -> void;
    auto suspend(Time now, Duration minLength) -> void;

    UpstreamEntry entry_;
    EngineTraits traits_;
    double fraction_ = 1.0;
    double prefillRate_;
    /** From placing to the news of the first token, besides reading. */
    Duration lag_;
    PromptCache cache_;
    absl::flat_hash_map<PlacementKey, Running> running_;
    /** In the order in which they were placed, which is the order in which engines prefill. */
    std::deque<PendingPrefill> pendingPrefills_;
    std::uint64_t pendingPrefillTokens_ = 0;
    /** Memory that running requests need besides their prompt parts. */
    std::uint64_t privateTokens_ = 0;
    std::uint32_t failures_ = 0;
    Time suspendedUntil_ {};
};

} // namespace camphorshunt
