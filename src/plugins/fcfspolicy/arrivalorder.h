#pragma once

#include <array>
#include <deque>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "dispatchpolicy.h"

namespace camphorshunt {

/**
 * First come first served over all entry routers, in the order in which the dispatcher is notified of
 * requests. A baseline for comparison: it does not distinguish organisations and keeps no totals.
 */
class ArrivalOrder {
public:
    ArrivalOrder(const Dispatch& dispatch, Incarnation dispatcher) { }

    auto setWeight(OrganisationId organisation, double weight) -> void { }
    auto setWaiting(const DemandKey& key, std::uint32_t waiting, std::uint32_t headUnits) -> void;
    auto choose(bool deferrableAllowed) -> std::optional<DemandKey>;
    auto requestProgressed(const DemandKey& key, double units) -> void { }
    auto requestEnded(const DemandKey& key, double servedUnits) -> void { }
    auto adoptRequest(const DemandKey& key) -> void { }
    auto apply(const Totals& totals) -> void { }
    auto takeTotals() -> std::vector<ServiceTotal> { return {}; }
    auto backloggedOrganisations() const -> std::size_t { return organisations_.size(); }

private:
    struct Arrivals {
        DemandKey key;
        std::uint32_t count {};
        std::uint64_t order {};
    };
    struct Waiting {
        std::uint32_t count {};
        /** Arrivals in the queue; more than `count` after requests were withdrawn. */
        std::uint32_t queued {};
    };
    using Queue = std::deque<Arrivals>;

    auto dropStale(Queue& queue) -> void;
    auto countOrganisation(const DemandKey& key, std::uint32_t before, std::uint32_t after) -> void;

    std::array<Queue, 2> queues_;
    absl::flat_hash_map<DemandKey, Waiting> waiting_;
    /** Backlogged organisations and the number of keys under which they wait. */
    absl::flat_hash_map<OrganisationId, std::uint32_t> organisations_;
    std::uint64_t arrivals_ {};
};

static_assert(DispatchPolicy<ArrivalOrder>);

} // namespace camphorshunt
