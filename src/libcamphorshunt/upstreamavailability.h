#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

namespace camphorshunt {

/**
 * Whether, and from when, one router may send requests to an upstream, according to what the upstream has
 * said: one that leaves gets none, one that rests gets none until the rest ends. This concerns one process
 * of the upstream; a directory entry of that process or an earlier one doesn't undo it. An upstream of an
 * evacuated failure domain gets none either.
 */
class UpstreamAvailability {
public:
    /**
     * Time for which an upstream is remembered after it has left the directory or its rest has ended: entries
     * that are stale, or expired while the upstream was cut off, may be listed again.
     */
    static constexpr auto retention = Duration(std::chrono::minutes(10));

    /** Longest rest that applies, as one without end would make the upstream useless. */
    static constexpr auto longestRest = Duration(std::chrono::hours(1));

    /** Returns false if this is known already, or concerns an earlier process than the known one. */
    auto recordLeaving(Time now, const UpstreamProcess& process) -> bool;
    /** The longest of several rests applies. Returns false if the upstream rests already or leaves. */
    auto recordRest(Time now, const UpstreamProcess& process, Time until) -> bool;
    /** Sets all entries of the directory; returns whether other upstreams than before are evacuated. */
    auto setUpstreams(Time now, std::span<const UpstreamEntry> entries) -> bool;
    /** Removes what doesn't apply any more; returns the upstreams whose rest has ended. */
    auto sweep(Time now) -> std::vector<UpstreamId>;

    /** The earliest time at which a request may be sent, at least `now`; none if never. */
    auto sendableFrom(Time now, const UpstreamProcess& process) const -> std::optional<Time>;
    auto maySend(Time now, const UpstreamEntry& entry) const -> bool;

    auto isEvacuated(UpstreamId id) const -> bool { return evacuated_.contains(id); }
    auto leaving() const -> std::size_t;
    auto evacuated() const -> std::size_t { return evacuated_.size(); }
    auto resting(Time now) const -> std::size_t;
    auto size() const -> std::size_t { return states_.size(); }

private:
    struct State {
        UpstreamProcess process;
        bool leaving = false;
        Time restsUntil {};
        /** Since when the directory has not listed the upstream. */
        std::optional<Time> unlistedSince;
        /** When the process changed, or something was last said by it or an earlier one. */
        Time changedAt;
    };

    /** The state to update; null if a later process is known. */
    auto update(Time now, const UpstreamProcess& process) -> State*;

    auto updateStates(Time now, std::span<const UpstreamEntry> entries) -> void;

    absl::flat_hash_map<UpstreamId, State> states_;
    absl::flat_hash_set<UpstreamId> evacuated_;
};

} // namespace camphorshunt
