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
 * Chooses the backlogged organisation with the lowest level. The level is service per weight, where
 * service is the units that the upstreams have served plus an advance for each running request. The
 * advance is the same for all organisations: it stands for the future cost of a slot just granted, keeps
 * the slot shares of two organisations equal while their service is equal, and needs no cost hints.
 *
 * An organisation that was idle starts at the lowest level of the backlogged ones, or at its own level if
 * that is higher: it keeps no credit, and stays charged for service in advance of the others.
 *
 * Organisations with only deferrable requests form a backlog of their own. While deferrable requests may use
 * no more slots, an offset raises this backlog as a whole: its levels do not fall below the others by more
 * than the largest request, and its order stays the same.
 */
class FairShares {
public:
    FairShares(const Dispatch& dispatch, Incarnation dispatcher);

    auto setWeight(OrganisationId organisation, double weight) -> void;
    auto setWaiting(const DemandKey& key, std::uint32_t waiting, std::uint32_t headUnits) -> void;
    auto choose(bool deferrableAllowed) -> std::optional<DemandKey>;
    auto requestProgressed(const DemandKey& key, double units) -> void;
    auto requestEnded(const DemandKey& key, double servedUnits) -> void;
    /** The advance is not charged again: the dispatcher that chose the request has accounted for it. */
    auto adoptRequest(const DemandKey& key) -> void;
    auto apply(const Totals& totals) -> void;
    auto takeTotals() -> std::vector<ServiceTotal>;
    auto backloggedOrganisations() const -> std::size_t { return backlogs_[0].size() + backlogs_[1].size(); }

private:
    /** Waiting requests of one class by entry router; the routers are served in round-robin order. */
    struct ClassQueue {
        absl::btree_map<RouterId, std::uint32_t> routers;
        RouterId lastServed;
    };
    struct Account {
        OrganisationId id;
        double weight = 1.0;
        /** Service per weight without advances; in the deferrable backlog less that backlog's offset. */
        double service {};
        std::uint32_t running {};
        /** Backlog that contains the account, if any, and the level of its entry there. */
        std::optional<std::size_t> classIndex;
        double backlogLevel {};
        std::array<ClassQueue, 2> queues;
        /** Units served by this shard, advances of running requests, and the sum of both last reported. */
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
    /** Backlogged organisations by level: with interactive requests, and with deferrable ones only. */
    std::array<absl::btree_set<BacklogKey>, 2> backlogs_;
    double deferrableOffset_ {};
    /** The highest level at which an organisation was chosen. */
    double virtualTime_ {};
    /** Units charged in advance for each running request. */
    double advance_ {};
    /** Decayed sums of the costs of requests that ended, and of their squares. */
    double costs_ {};
    double squaredCosts_ {};
    /** Maximum cost per weight of any request so far. */
    double maxRequestCost_ {};
    RemoteTotals remoteTotals_;
    std::vector<OrganisationId> reportsDue_;
};

static_assert(DispatchPolicy<FairShares>);

} // namespace camphorshunt
