#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include "dispatchpolicy.h"
#include "remotetotals.h"

namespace camphorshunt {

/**
 * Chooses the backlogged organisation with the least service per weight, where service is what the
 * upstreams worked for it plus an advance for each of its running requests. The advance is the same
 * for all: it stands for what a slot just handed out is still to cost, keeps two organisations' shares
 * of the slots together while their service is together, and needs no hint of the costs.
 *
 * One that comes back from idle starts at the floor of the backlogged ones: no credit is hoarded, no
 * debt forgiven. While deferrable work may take no more slots, the organisations that have nothing
 * else wait in a classIndex of their own; the classIndex's service is lifted as a whole, so that it never
 * falls behind the others by more than the largest request, and keeps its inner order.
 */
class FairShares {
public:
    FairShares(const Dispatch& dispatch, Incarnation dispatcher);

    auto setWeight(OrganisationId organisation, double weight) -> void;
    auto setWaiting(const DemandKey& key, std::uint32_t waiting, std::uint32_t headUnits) -> void;
    auto choose(bool deferrableAllowed) -> std::optional<DemandKey>;
    auto requestProgressed(const DemandKey& key, double units) -> void;
    auto requestEnded(const DemandKey& key, double servedUnits) -> void;
    /** The dispatcher that chose the request had balanced its advance, so it is not charged again. */
    auto adoptRequest(const DemandKey& key) -> void;
    auto apply(const Totals& totals) -> void;
    auto takeTotals() -> std::vector<ServiceTotal>;
    auto backloggedOrganisations() const -> std::size_t { return backlogs_[0].size() + backlogs_[1].size(); }

private:
    /** Waiting requests of one class by entry router; the routers take turns. */
    struct ClassQueue {
        absl::btree_map<RouterId, std::uint32_t> routers;
        RouterId lastServed;
    };
    struct Account {
        OrganisationId id;
        double weight = 1.0;
        /** Service per weight without advances; in the deferrable classIndex less that classIndex's offsetOf.
         */
        double service {};
        std::uint32_t running {};
        /** Line in which it waits, if any, and the level it is backlogLevel under there. */
        std::optional<std::size_t> classIndex;
        double backlogLevel {};
        std::array<ClassQueue, 2> queues;
        /** Units served by this shard, advances for what runs, and how much of both the other shards know. */
        double servedUnits {};
        double advancedUnits {};
        double reportedUnits {};
        bool reportDue {};
    };
    using BacklogKey = std::pair<double, OrganisationId>;

    auto accountOf(OrganisationId organisation) -> Account&;
    auto level(const Account& account) const -> double;
    auto insertIntoBacklog(Account& account) -> void;
    auto removeFromBacklog(Account& account) -> void;
    auto updateBacklogPosition(Account& account) -> void;
    auto updateBacklogClass(Account& account) -> void;
    auto lowestBackloggedLevel() const -> double;
    auto offsetOf(std::size_t classIndex) const -> double
    {
        return classIndex == 0 ? 0.0 : deferrableOffset_;
    }
    auto raiseDeferrable(double level) -> void;
    auto takeNext(Account& account, std::size_t classIndex) -> DemandKey;
    auto scheduleReport(Account& account) -> void;
    auto updateAdvance(double units) -> void;
    auto setAdvance(double units) -> void;
    auto rebase() -> void;

    double quantum_ {};
    bool sharded_ {};
    absl::flat_hash_map<OrganisationId, std::unique_ptr<Account>> accounts_;
    /** Backlogged organisations by level: those with interactive work, those with deferrable only. */
    std::array<absl::btree_set<BacklogKey>, 2> backlogs_;
    double deferrableOffset_ {};
    /** The highest level at which an organisation was chosen. */
    double virtualTime_ {};
    /** Units charged for each running request. */
    double advance_ {};
    /** Decayed sums of the costs of requests that ended, and of their squares. */
    double costs_ {};
    double squaredCosts_ {};
    /** The greatest cost per weight seen of one request. */
    double maxRequestCost_ {};
    RemoteTotals remoteTotals_;
    std::vector<OrganisationId> reportsDue_;
};

static_assert(DispatchPolicy<FairShares>);

} // namespace camphorshunt
