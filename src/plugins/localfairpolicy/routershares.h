#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include "dispatchpolicy.h"
#include "fairshares.h"

namespace camphorshunt {

/**
 * Grants slots to the entry routers in round-robin order; each router's share is divided fairly between
 * organisations, counting only the service that they received through that router. A baseline for
 * comparison: nothing is exchanged between routers or shards.
 */
class RouterShares {
public:
    RouterShares(const Dispatch& dispatch, Incarnation dispatcher);

    auto setWeight(OrganisationId organisation, double weight) -> void;
    auto setWaiting(const DemandKey& key, std::uint32_t waiting, std::uint32_t headUnits) -> void;
    auto choose(bool deferrableAllowed) -> std::optional<DemandKey>;
    auto requestProgressed(const DemandKey& key, double units) -> void
    {
        shares(key.router).requestProgressed(key, units);
    }
    auto requestEnded(const DemandKey& key, double servedUnits) -> void
    {
        shares(key.router).requestEnded(key, servedUnits);
    }
    auto adoptRequest(const DemandKey& key) -> void { shares(key.router).adoptRequest(key); }
    auto apply(const Totals& totals) -> void { }
    auto takeTotals() -> std::vector<ServiceTotal> { return {}; }
    auto backloggedOrganisations() const -> std::size_t { return organisations_.size(); }

private:
    auto shares(RouterId router) -> FairShares&;
    auto countBacklogged(const DemandKey& key, std::uint32_t waiting) -> void;

    Dispatch dispatch_;
    Incarnation dispatcher_;
    absl::flat_hash_map<OrganisationId, double> weights_;
    absl::btree_map<RouterId, FairShares> routers_;
    RouterId lastServed_;
    absl::flat_hash_map<DemandKey, std::uint32_t> waiting_;
    /** Backlogged organisations and the number of keys under which they wait. */
    absl::flat_hash_map<OrganisationId, std::uint32_t> organisations_;
};

static_assert(DispatchPolicy<RouterShares>);

} // namespace camphorshunt
