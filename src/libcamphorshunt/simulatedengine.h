#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/fleetconfiguration.h"
#include "camphorshunt/placement.h"
#include "camphorshunt/prompt.h"
#include "camphorshunt/time.h"

#include "promptcache.h"

namespace camphorshunt {

/** How fast an engine works; the figures come from the engines' sheet. */
struct EngineTimes {
    /** A step of the batch: this, plus the two parts below, plus the reading of a chunk. */
    double stepMs = 4.0;
    double stepMsPerRequest = 0.03;
    double stepMsPerThousandTokens = 0.004;
    double prefillTokensPerMs = 60.0;
    /** Most tokens of prompts that are read in one step. */
    std::uint32_t chunkTokens = 1024;
    /** From the step that ends a prompt to its first token. */
    double firstTokenMs = 12.0;
    double copySetupMs = 2.5;
    /** Requests that may wait for a slot. */
    std::uint32_t maxQueued = 100;
};

/** Something that happened to a request at an engine. */
struct EngineEvent {
    enum class Kind : std::uint8_t { Started, Finished };

    PlacementKey key;
    Kind kind {};
    Time at;
};

/**
 * A model engine in simulated time: requests are admitted in order of arrival, read in chunks between the
 * steps of the batch, and generate one token a step. Running requests and kept prompt parts share the memory;
 * the newest request is preempted when it runs out. It has no clock: the caller ends each step when it is
 * due.
 */
class SimulatedEngine {
public:
    SimulatedEngine(const EngineTraits& traits, const EngineTimes& times)
        : traits_(traits)
        , times_(times)
    {
    }

    /** `copied`: tokens at the beginning that come from another engine. False if the engine is full. */
    auto submit(Time now, const PlacementKey& key, const Prompt& prompt, std::uint32_t output,
        std::uint32_t copied) -> bool;
    auto cancel(const PlacementKey& key) -> void;
    /** Loses all requests, which it returns, and all kept parts. */
    auto crash() -> std::vector<PlacementKey>;
    /** All steps take this many times as long from the next one on. */
    auto setSlowness(double factor) -> void { slowness_ = factor; }
    /** A hung engine takes requests and does nothing. */
    auto setHung(Time now, bool hung) -> void;

    /** When the step in progress ends; none if there is nothing to do. */
    auto stepEnd() const -> std::optional<Time> { return hung_ ? std::nullopt : stepEnd_; }
    /** Ends the step in progress, and begins the next one. */
    auto endStep(Time now) -> std::vector<EngineEvent>;

    /** Tokens at the beginning of a prompt that this engine keeps. */
    auto cachedTokens(const Prompt& prompt) const -> std::uint32_t;
    auto running() const -> std::size_t { return running_.size(); }
    auto waiting() const -> std::size_t { return waiting_.size(); }
    auto prefilledTokens() const -> std::uint64_t { return prefilledTokens_; }
    auto preemptions() const -> std::uint64_t { return preemptions_; }

private:
    struct Job {
        PlacementKey key;
        Prompt prompt;
        std::vector<PromptCache::Chain> chains;
        std::uint32_t output = 0;
        std::uint32_t copied = 0;
        Time readyAt;
        std::uint32_t pendingPrefill = 0;
        /** Read in the step in progress. */
        std::uint32_t chunk = 0;
        std::uint32_t generated = 0;
        std::uint64_t privateTokens = 0;
    };

    auto cachedTokens(const Prompt& prompt, std::span<const PromptCache::Chain> chains) const
        -> std::uint32_t;
    auto admit(Time now) -> void;
    auto beginStep(Time now) -> void;
    auto memoryInUse() const -> std::uint64_t;
    auto preemptNewest() -> void;

    EngineTraits traits_;
    EngineTimes times_;
    PromptCache cache_;
    std::deque<Job> waiting_;
    /** In the order of admission. */
    std::vector<Job> running_;
    std::optional<Time> stepEnd_;
    std::uint64_t prefilledTokens_ = 0;
    std::uint64_t preemptions_ = 0;
    double slowness_ = 1.0;
    bool hung_ = false;
};

} // namespace camphorshunt
