#pragma once

#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"

namespace camphorshunt {

/**
 * What the other shards of a service have told of their totals, turned into increments. Totals count
 * from the start of a dispatcher's run, so every run has a base of its own: one whose messages
 * interleave with those of its successor is counted once. A run that began before this dispatcher
 * did, or that goes back, is met in the middle: of its first total at most one quantum counts.
 */
class RemoteTotals {
public:
    RemoteTotals(Incarnation self, double quantum)
        : self_(self)
        , quantum_(quantum)
    {
    }

    /** Units that these totals add to what is source already, by organisation. */
    auto increments(const Totals& totals) -> std::vector<ServiceTotal>;

private:
    using Bases = absl::flat_hash_map<OrganisationId, double>;
    struct IncarnationTotals {
        Incarnation dispatcher;
        /** All of its units were served while this dispatcher ran. */
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
