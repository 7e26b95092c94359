#pragma once

#include <vector>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

/** When upstreams are to be looked at next: at most one time for each, so that no pass goes over all. */
class DueTimes {
public:
    /** Makes the upstream due then, unless it is due earlier. `Time::max()` has no effect. */
    auto hasten(UpstreamId upstream, Time due) -> void;
    /** Removes the upstreams that are due and returns them, ordered by identifier. */
    auto takeDue(Time now) -> std::vector<UpstreamId>;
    auto size() const -> std::size_t { return due_.size(); }

private:
    absl::btree_set<std::pair<Time, UpstreamId>> order_;
    absl::flat_hash_map<UpstreamId, Time> due_;
};

} // namespace camphorshunt
