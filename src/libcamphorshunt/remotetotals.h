#pragma once

#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"

namespace camphorshunt {

/**
 * Converts the totals that the other shards of a service report into increments. Totals count from the
 * start of a dispatcher's incarnation, so each incarnation has its own base, and one whose messages
 * interleave with those of its successor is counted once. If an incarnation started before this
 * dispatcher, or its total decreases, the units served before are unknown: at most one quantum of that
 * total counts.
 */
class RemoteTotals {
public:
    RemoteTotals(Incarnation self, double quantum)
        : self_(self)
        , quantum_(quantum)
    {
    }

    /** Units that these totals add to those already counted, by organisation. */
    auto increments(const Totals& totals) -> std::vector<ServiceTotal>;

private:
    using Bases = absl::flat_hash_map<OrganisationId, double>;
    struct IncarnationTotals {
        Incarnation dispatcher;
        /** This dispatcher has run since before the incarnation served its first unit. */
        bool observedFromStart {};
        Bases bases;
    };

    auto totalsOf(const Totals& totals) -> IncarnationTotals&;

    Incarnation self_;
    double quantum_ {};
    /** The last incarnations of each other shard, the newest last. */
    absl::flat_hash_map<ShardId, std::vector<IncarnationTotals>> incarnations_;
};

} // namespace camphorshunt
