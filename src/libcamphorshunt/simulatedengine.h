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

/** Timing parameters of a simulated engine. */
struct EngineTimes {
    /** Fixed part of a batch step's time. The two terms below and the prefill of a chunk are added to it. */
    double stepMs = 4.0;
    double stepMsPerRequest = 0.03;
    double stepMsPerThousandTokens = 0.004;
    double prefillTokensPerMs = 60.0;
    /** Maximum prompt tokens prefilled in one step. */
    std::uint32_t chunkTokens = 1024;
    /** Time from the end of the step that completes a prefill to the first token. */
    double firstTokenMs = 12.0;
    double copySetupMs = 2.5;
    /** Maximum number of requests waiting for a slot. */
    std::uint32_t maxQueued = 100;
};

/** The first token or the end of a request at an engine. */
struct EngineEvent {
    enum class Kind : std::uint8_t { Started, Finished };

    PlacementKey key;
    Kind kind {};
    Time at;
};

/**
 * A model engine in simulated time. Requests are admitted in order of arrival, prefilled in chunks as part of
 * the steps of the batch, and then generate one token per step. Running requests and cached prompt parts
 * share the memory; when it runs out, the newest request is preempted. The engine has no clock: the caller
 * ends each step when it is due.
 */
class SimulatedEngine {
public:
    SimulatedEngine(const EngineTraits& traits, const EngineTimes& times)
        : traits_(traits)
        , times_(times)
    {
    }

    /** Queues a request. `copied`: tokens at the beginning that are copied from another engine. Returns false
     * if the queue is full or the request exceeds the memory.
     */
    auto submit(Time now, const PlacementKey& key, const Prompt& prompt, std::uint32_t output,
        std::uint32_t copied) -> bool;
    auto cancel(const PlacementKey& key) -> void;
    /** Drops all requests and all cached parts, and returns the dropped requests. */
    auto crash() -> std::vector<PlacementKey>;
    /** Multiplies the duration of all steps by `factor`, starting with the next one. */
    auto setSlowness(double factor) -> void { slowness_ = factor; }
    /** A hung engine accepts requests but makes no progress. */
    auto setHung(Time now, bool hung) -> void;

    /** End of the current step; none if the engine is idle or hung. */
    auto stepEnd() const -> std::optional<Time> { return hung_ ? std::nullopt : stepEnd_; }
    /** Ends the current step, starts the next one and returns the events of the ended step. */
    auto endStep(Time now) -> std::vector<EngineEvent>;

    /** Tokens at the beginning of a prompt that this engine has cached. */
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
        /** Tokens prefilled in the current step. */
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
    /** In order of admission. */
    std::vector<Job> running_;
    std::optional<Time> stepEnd_;
    std::uint64_t prefilledTokens_ = 0;
    std::uint64_t preemptions_ = 0;
    double slowness_ = 1.0;
    bool hung_ = false;
};

} // namespace camphorshunt
