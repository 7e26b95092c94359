#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/placement.h"
#include "camphorshunt/prompt.h"
#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

namespace camphorshunt {

/** A prompt part that is kept away from engines, as known by one router and told to the others. */
struct QuarantinedPart {
    std::uint64_t part = 0;
    /** One request with the part may be tried then. */
    Time until;
    /** Length of the quarantine, from which the next one's follows. */
    Duration length {};
    /** Engines of the service answer requests with the part again. */
    bool released = false;
};

/** Why a part entered or left quarantine, for the log. */
struct QuarantineChange {
    QuarantinedPart part;
    /** Broken requests with the part, on different engines and with no answered one between them. */
    std::uint32_t crashes = 0;
    /** The engine that ended last under the part. */
    UpstreamId engine;
};

/**
 * Finds prompt parts under which engines of a service crash, and keeps requests with such a part away from
 * the engines; now and then one is tried, as a new release may bear the part. The last part of a prompt
 * belongs to the request alone and is not considered.
 *
 * A request counts against its parts if its answer breaks off before it has lasted for a while. It counts
 * once for each engine process, and only if it was placed after the part's previous crash was known, as one
 * failure breaks off many requests. It does not count any more if the engine process turns out to live. A
 * lasting answer clears all parts of its prompt. Of several parts of a prompt that qualify, the last one,
 * which fewest requests share, is kept away. Not thread-safe.
 */
class PromptQuarantine {
public:
    /** Crashes after which a part is kept away. */
    static constexpr auto crashLimit = std::size_t { 3 };
    /** An answer that has lasted for so long did not end its engine. */
    static constexpr auto lastingAnswer = Duration(std::chrono::milliseconds(500));
    /** Time in which a live engine that only broke off an answer begins or ends another one. */
    static constexpr auto lifeSignTime = Duration(std::chrono::milliseconds(500));
    /** Limit of parts that are observed at a time. */
    static constexpr auto maxParts = std::size_t { 1024 };

    /** When the first request with any of these parts may be placed; none if one may be placed now. */
    auto blockedUntil(Time now, std::span<const PromptPart> parts) const -> std::optional<Time>;

    auto recordPlaced(Time now, const PlacementKey& key, std::span<const PromptPart> parts) -> void;
    /** The first bytes of its answer have arrived. */
    auto recordStarted(Time now, const PlacementKey& key, const UpstreamProcess& engine) -> void;
    auto recordEnded(Time now, const PlacementKey& key, PlacementEnd end, const UpstreamProcess& engine)
        -> void;
    /** Quarantines parts whose last crash was long enough ago for its engine to show that it lives. */
    auto settle(Time now) -> void;
    /** The request is not observed any more. */
    auto forget(const PlacementKey& key) -> void;

    /** Applies what another router has found out; returns whether it was new. */
    auto apply(Time now, const QuarantinedPart& told) -> bool;
    /** All parts in quarantine. */
    auto quarantined() const -> std::vector<QuarantinedPart>;
    /** What this object has found out since the last call. */
    auto takeChanges() -> std::vector<QuarantineChange> { return std::exchange(changes_, {}); }
    /** Whether `blockedUntil` may have become later for some request since the last call. */
    auto takeNewBlock() -> bool { return std::exchange(hasNewBlock_, false); }

    auto observedParts() const -> std::size_t { return suspects_.size(); }
    auto observedEngines() const -> std::size_t { return crashedEngines_.size(); }

private:
    struct Request {
        std::vector<std::uint64_t> parts;
        Time placedAt;
        std::optional<Time> startedAt;
    };
    struct Crash {
        UpstreamProcess engine;
        Time at;
    };
    struct Suspect {
        std::vector<Crash> crashes;
        Time lastCrash;
        /** Until then requests with the part are refused, as a verdict is due. */
        std::optional<Time> verdictDue;
        /** Zero unless the part is in quarantine. */
        Duration length {};
        Time until;
        /** The request that is tried after a quarantine. */
        std::optional<PlacementKey> trial;

        auto isQuarantined() const -> bool { return length > Duration {}; }
        auto awaitsVerdict(Time now) const -> bool
        {
            return isQuarantined() ? trial.has_value() : verdictDue && *verdictDue <= now;
        }
        /** Whether the crashes suffice for a quarantine, or for a longer one. */
        auto isConvicted() const -> bool { return crashes.size() >= (isQuarantined() ? 1 : crashLimit); }
    };
    /** A part that is to be quarantined unless an engine shows that it lives. */
    struct Verdict {
        Time due;
        std::uint64_t part = 0;
        /** Of the prompt under which the last engine crashed. */
        std::vector<std::uint64_t> parts;
    };

    /** Clears the parts of requests whose answers have lasted. */
    auto clearLasting(Time now) -> void;
    auto clear(Time now, const Request& request) -> void;
    /** The engine has answered a request that was placed at this time. */
    auto recordLife(Time now, const UpstreamProcess& engine, Time placedAt) -> void;
    auto recordCrash(Time now, const PlacementKey& key, const Request& request, const UpstreamProcess& engine)
        -> void;
    auto findQuarantined(std::span<const std::uint64_t> parts) const -> std::optional<std::uint64_t>;
    auto quarantine(Time now, std::uint64_t part) -> void;
    /** Adds the part to those that are observed; another one may have to go. */
    auto observe(Time now, std::uint64_t part) -> Suspect&;
    auto evict() -> void;
    /** Remembers an engine of which a crash counts. */
    auto recordCrashed(Time now, const UpstreamProcess& engine) -> void;
    auto endTrials(const PlacementKey& key, const Request& request) -> void;

    absl::flat_hash_map<PlacementKey, Request> requests_;
    absl::flat_hash_map<std::uint64_t, Suspect> suspects_;
    /** In order of time. */
    std::deque<std::pair<Time, PlacementKey>> started_;
    /** In order of time. */
    std::deque<Verdict> verdicts_;
    /** Engines of which crashes count, and when the last one was. */
    absl::flat_hash_map<UpstreamId, Time> crashedEngines_;
    std::vector<QuarantineChange> changes_;
    bool hasNewBlock_ = false;
};

} // namespace camphorshunt
