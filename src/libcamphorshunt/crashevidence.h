#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

namespace camphorshunt {

/** A request whose answer broke off before it had lasted for a while. */
struct BrokenRequest {
    /** Shared parts of its prompt. */
    std::vector<std::uint64_t> parts;
    Time placedAt;
};

/** What one router tells the others of an engine that broke off a request. */
struct CrashReport {
    UpstreamProcess engine;
    /** Shared parts of the request's prompt. */
    std::vector<std::uint64_t> parts;
    Time placedAt;
    Time brokenAt;
    /** The engine has answered since, so that its break counts against no part. */
    bool isDisproved = false;
    /** The engine is known to have ended. */
    bool isProven = false;
};

/** Whether all parts of `set` are among `parts`. */
auto containsAll(std::span<const std::uint64_t> parts, std::span<const std::uint64_t> set) -> bool;

/**
 * Which prompt parts were on engines that may have ended, and have not been answered since. An engine that
 * broke off a request has ended only if that is proven: by a query, or by the directory. Bounded; the oldest
 * evidence is dropped first. Not thread-safe.
 */
class CrashEvidence {
public:
    /** Limit of engines and of prompt parts that are remembered. */
    static constexpr auto maxEngines = std::size_t { 256 };
    static constexpr auto maxParts = std::size_t { 1024 };

    /** Which engines count that broke off requests. */
    enum class Proof : std::uint8_t { Required, NotRequired };

    /** The engine broke off this request, and may have ended. */
    auto recordBreak(Time now, const UpstreamProcess& engine, BrokenRequest request) -> void;
    /** The engine has ended; true if that was not known of the process. */
    auto recordEnd(const UpstreamProcess& engine) -> bool;
    /**
     * The engines that the directory lists: a process that is not listed any more, or was replaced, has
     * ended. Returns those of which that is new.
     */
    auto recordDirectory(std::span<const UpstreamEntry> entries) -> std::vector<UpstreamProcess>;
    /** When the engine broke off its first request; none if nothing is known. */
    auto brokeOffAt(const UpstreamProcess& engine) const -> std::optional<Time>;
    /** Drops what is known of the engine's end; true if there was something. */
    auto dropEnd(const UpstreamProcess& engine) -> bool;
    /** The engine has answered a request placed at this time; true if it had been taken for ended. */
    auto recordLife(Time now, const UpstreamProcess& engine, Time placedAt) -> bool;
    /** An answer to a request with these parts has lasted: none of them ended an engine before. */
    auto recordAnswered(std::span<const std::uint64_t> parts) -> void;
    /** Drops the engines that had the part: it alone explains why they ended. */
    auto explain(std::uint64_t part) -> void;

    /** The engine broke off requests, and no sign of life is known since. */
    auto mayHaveEnded(const UpstreamProcess& engine) const -> bool { return find(engine) != ends_.end(); }
    auto hasEnded(const UpstreamProcess& engine) const -> bool;
    /** Engines that had a request with all parts of the set, or broke off others when these did, without
     * proof that they ended.
     */
    auto unprovenWith(std::span<const std::uint64_t> set) const -> std::vector<UpstreamProcess>;
    /** Engines that ended and had a request with all parts of the set. */
    auto endedWith(std::span<const std::uint64_t> set) const -> std::vector<std::pair<UpstreamProcess, Time>>;
    /**
     * Sets of parts, each from one prompt, that explain best why the engine and `limit - 1` others ended.
     * Parts that the evidence does not tell apart are in one set, and no set is a part of another. Empty if
     * no part was on enough engines.
     */
    auto suspectsOf(const UpstreamProcess& engine, std::size_t limit, Proof proof) const
        -> std::vector<std::vector<std::uint64_t>>;

    /** Number of engines, proven to have ended or not, that had a request with all parts of the set. */
    auto enginesWith(std::span<const std::uint64_t> set) const -> std::size_t;

    /** All broken requests, of the engine that ended first at first. */
    auto reports() const -> std::vector<CrashReport>;

    auto observedParts() const -> std::size_t { return parts_.size(); }
    auto observedEngines() const -> std::size_t { return ends_.size(); }

private:
    struct EngineEnd {
        UpstreamProcess engine;
        Time at;
        std::vector<BrokenRequest> requests;
        bool isProven = false;
    };
    /** A part was on the engine whose end has this index. */
    struct Presence {
        std::size_t end = 0;
        /** When the last of the broken requests with the part was placed. */
        Time placedAt;
    };
    using Presences = absl::flat_hash_map<std::uint64_t, std::vector<Presence>>;

    /** Of the parts that were on this engine and may have been on `limit` engines. */
    auto presencesOf(const EngineEnd& end, std::size_t limit, Proof proof) const -> Presences;
    /** Number of ends that have no common cause other than the part. */
    auto failuresOf(std::span<const Presence> presences) const -> std::size_t;
    /**
     * Whether all engines that broke off requests about when this one did ended and had the part. A failure
     * of something else, as of a failure domain or a router's connections, affects other engines as well.
     */
    auto isCommonAround(std::size_t end, std::span<const Presence> presences) const -> bool;
    auto find(const UpstreamProcess& engine) const -> std::deque<EngineEnd>::const_iterator;
    auto forget(const std::deque<EngineEnd>::const_iterator& end) -> void;
    auto recordAlive(const std::deque<EngineEnd>::const_iterator& end) -> void;
    auto release(std::uint64_t part) -> void;
    auto expire(Time now) -> void;

    /** In order of time. */
    std::deque<EngineEnd> ends_;
    /** When engines that live broke off requests. */
    std::deque<Time> brokenOffAlive_;
    /** Number of broken requests with the part. */
    absl::flat_hash_map<std::uint64_t, std::size_t> parts_;
};

} // namespace camphorshunt
