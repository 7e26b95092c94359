#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "camphorshunt/enginestate.h"
#include "camphorshunt/placement.h"
#include "camphorshunt/prompt.h"
#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

#include "crashevidence.h"
#include "liveness/enginequeries.h"

namespace camphorshunt {

/** A prompt part, or a set, that is kept away from engines, as known by one router and told to the others. */
struct QuarantinedPart {
    std::uint64_t part = 0;
    /** One request with the part may be tried then. */
    Time until;
    /** Length of the quarantine, from which the next one's follows. */
    Duration length {};
    /** Engines of the service answer requests with the part again. */
    bool released = false;
    /** Only requests that have these parts too are kept away, as crashes don't tell them apart. */
    std::vector<std::uint64_t> with {};
};

/** Why a part entered or left quarantine, for the log. */
struct QuarantineChange {
    QuarantinedPart part;
    /** Engines that ended with requests that have the part. */
    std::uint32_t crashes = 0;
    /** The engine that ended last under the part. */
    UpstreamId engine;
};

/**
 * Finds prompt parts under which engines of a service crash, and keeps requests with such a part away from
 * the engines; now and then one is tried, as a new release may bear the part. The last part of a prompt
 * belongs to the request alone and is not considered.
 *
 * A request counts against its parts if its answer breaks off before it has lasted for a while and its engine
 * has ended, which a query to the engine or the directory proves: engines also lose answers and live. While
 * that is not known, requests with a suspected part wait. A lasting answer clears all parts of its prompt.
 * While the evidence does not tell several parts apart, only requests that have all of them are kept away;
 * answers and crashes of other requests then narrow them down. Not thread-safe.
 */
class PromptQuarantine {
public:
    /** Crashes after which a part is kept away. */
    static constexpr auto crashLimit = std::size_t { 3 };
    /** An answer that has lasted for so long did not end its engine. */
    static constexpr auto lastingAnswer = Duration(std::chrono::milliseconds(500));
    /** Time for answers to clear parts before a verdict. */
    static constexpr auto verdictDelay = Duration(std::chrono::milliseconds(500));
    /** Time for which requests wait at most until it is known whether engines have ended: until the verdict.
     */
    static constexpr auto maxHold = verdictDelay;
    /** Time for all routers to report the requests that broke off as an engine ended. */
    static constexpr auto reportSpread = Duration(std::chrono::milliseconds(20));
    /** Limit of parts that are observed at a time, and of quarantines. */
    static constexpr auto maxParts = CrashEvidence::maxParts;

    /** When the first request with any of these parts may be placed; none if one may be placed now. */
    auto blockedUntil(Time now, std::span<const PromptPart> parts) const -> std::optional<Time>;
    /** The same, without the parts that are only suspected: such requests wait. */
    auto refusedUntil(Time now, std::span<const PromptPart> parts) const -> std::optional<Time>;

    auto recordPlaced(Time now, const PlacementKey& key, std::span<const PromptPart> parts) -> void;
    /** The first bytes of its answer have arrived. */
    auto recordStarted(Time now, const PlacementKey& key, const UpstreamProcess& engine) -> void;
    auto recordEnded(Time now, const PlacementKey& key, PlacementEnd end, const UpstreamProcess& engine)
        -> void;
    /** Quarantines parts under which engines are known to have ended. */
    auto settle(Time now) -> void;

    /** Engines that are to be asked whether they still run; `recordQuery` gets the answers. */
    auto takeQueries() -> std::vector<UpstreamProcess> { return queries_.takeDue(); }
    /** `result`: of a query to this process. Returns the state of the engine that follows. */
    auto recordQuery(Time now, const UpstreamProcess& engine, const EngineQueryResult& result) -> EngineState;
    /** All engines that the directory lists. */
    auto recordDirectory(Time now, std::span<const UpstreamEntry> entries) -> void;

    /**
     * Whether this router places the requests of the service. One that does not sees few signs of life and
     * judges nothing; it tells what it has seen. One that begins to waits for signs of life first.
     */
    auto setPlaces(Time now, bool places) -> void;
    /** The request is not observed any more. */
    auto forget(const PlacementKey& key) -> void;

    /** Applies what another router has found out; returns whether it was new. */
    auto apply(const QuarantinedPart& told) -> bool;
    /** All parts and sets of parts that are in quarantine. */
    auto quarantined() const -> std::vector<QuarantinedPart>;

    // Routers tell each other of crashes, so that the next one that places requests knows of them.
    /** Applies what another router has seen; returns whether it was new. */
    auto applyCrash(Time now, const CrashReport& told) -> bool;
    /** What this object has seen since the last call, for the other routers; bounded. */
    auto takeCrashReports() -> std::vector<CrashReport> { return std::exchange(crashReports_, {}); }
    /** Everything that a router needs to know which is to place the requests from now on. */
    auto crashReports() const -> std::vector<CrashReport>;

    /** What this object has found out since the last call. */
    auto takeChanges() -> std::vector<QuarantineChange> { return std::exchange(changes_, {}); }
    /** Whether `blockedUntil` may have become later for some request since the last call. */
    auto takeNewBlock() -> bool { return std::exchange(hasNewBlock_, false); }

    auto observedParts() const -> std::size_t { return evidence_.observedParts(); }
    auto observedEngines() const -> std::size_t { return evidence_.observedEngines(); }

private:
    using Parts = std::vector<std::uint64_t>;

    struct Request {
        Parts parts;
        Time placedAt;
        std::optional<Time> startedAt;
    };
    struct Quarantine {
        /** Sorted; requests that have all of them are kept away. */
        Parts parts;
        Duration length {};
        Time until;
        /** The request that is tried after a quarantine. */
        std::optional<PlacementKey> trial;
        /** Zero if another router has told of the part. */
        std::size_t crashes = 0;
        UpstreamId lastEngine {};
        /** Engines that ended under the parts, and when; empty if another router has told of them. */
        std::vector<std::pair<UpstreamProcess, Time>> ended {};
    };
    /** Keeps requests away while it is not known yet whether an engine has ended. */
    struct Suspicion {
        Parts parts;
        Time until;
    };
    struct Verdict {
        Time due;
        UpstreamProcess engine;
        /** Of the quarantine whose trial broke off; otherwise empty. */
        Parts tried;
    };

    /** Clears the parts of requests whose answers have lasted. */
    auto clearLasting(Time now) -> void;
    auto clear(Time now, const Request& request) -> void;
    auto recordLife(Time now, const UpstreamProcess& engine, Time placedAt) -> void;
    auto recordCrash(Time now, const PlacementKey& key, Request request, const UpstreamProcess& engine)
        -> void;
    /** Suspects parts for the end of the engine soon, and judges them once it is known to have ended. */
    auto judgeLater(Time now, const UpstreamProcess& engine) -> void;
    auto suspectDue(Time now) -> void;
    auto suspect(Time now, std::vector<std::uint64_t> parts) -> void;
    auto judge(Time now, const UpstreamProcess& engine) -> void;
    auto judgeTrial(Time now, const Verdict& verdict) -> void;
    auto dropUndecided(Time now) -> void;
    /** Drops suspicions that too few engines support. */
    auto dropUnsupported() -> void;
    auto recordEnd(Time now, const UpstreamProcess& engine) -> void;
    /** Releases quarantines that too few ended engines support. */
    auto revoke(Time now, const UpstreamProcess& living) -> void;
    /** When the first request may be placed, by these quarantines. */
    auto quarantinedUntil(Time now, std::span<const std::uint64_t> ids) const -> std::optional<Time>;
    auto reportCrashes(Time now) -> void;
    auto find(std::span<const std::uint64_t> parts) -> std::vector<Quarantine>::iterator;
    auto quarantine(Time now, Parts parts, UpstreamId engine) -> void;
    auto prolong(Time now, Quarantine& quarantine, UpstreamId engine) -> void;
    /** Drops what a quarantine of these parts makes needless. */
    auto dropExplained(Time now, std::span<const std::uint64_t> parts) -> void;
    auto add(Quarantine quarantine) -> void;
    /** Whether any of the parts is in a quarantine or suspicion, or was lately. */
    auto mayConcern(std::span<const std::uint64_t> parts) const -> bool;
    auto noteConcerned(std::span<const std::uint64_t> parts) -> void;
    /** Whether a quarantine keeps all requests away that have these parts. */
    auto isCovered(std::span<const std::uint64_t> parts) const -> bool;
    static auto toldOf(const Quarantine& quarantine) -> QuarantinedPart;
    auto reportChange(const Quarantine& quarantine) -> void;
    auto reportRelease(Time now, std::span<const std::uint64_t> parts) -> void;
    auto endTrials(const PlacementKey& key) -> void;

    absl::flat_hash_map<PlacementKey, Request> requests_;
    CrashEvidence evidence_;
    EngineQueries queries_;
    std::vector<Quarantine> quarantines_;
    std::vector<Suspicion> suspicions_;
    /** Has all parts of quarantines and suspicions, and may have some of former ones. */
    absl::flat_hash_set<std::uint64_t> concernedParts_;
    /** In order of time. */
    std::deque<std::pair<Time, PlacementKey>> started_;
    /** In order of time. */
    std::deque<Verdict> verdicts_;
    /** Engines for whose end parts are to be suspected; in order of time. */
    std::deque<std::pair<Time, UpstreamProcess>> toBeSuspected_;
    /** Engines with a verdict that is due, other than of a trial. */
    absl::flat_hash_set<UpstreamId> toBeJudged_;
    /** Not reported yet, in order of time, as their engines may still show that they live. */
    std::deque<CrashReport> unreported_;
    std::vector<CrashReport> crashReports_;
    absl::flat_hash_set<UpstreamId> reportedEngines_;
    Time reportPeriod_;
    std::size_t reportsInPeriod_ = 0;
    std::vector<QuarantineChange> changes_;
    bool hasNewBlock_ = false;
    bool places_ = true;
};

} // namespace camphorshunt
