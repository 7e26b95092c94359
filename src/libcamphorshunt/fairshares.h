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
 * Chooses the backlogged organisation with the least service per weight (start-time fair queueing
 * over organisations: Goyal, Vin, Cheng, 1996; charged by tokens as in VTC: Sheng et al., 2024).
 *
 * An organisation is charged the estimate of a request when it is chosen, and corrected as the
 * answer streams and ends. One that comes back from idle starts at the floor of the backlogged
 * ones: no credit is hoarded, no debt forgiven. While deferrable work may take no more slots, the
 * organisations that have nothing else wait in a line of their own; the line's service is lifted as
 * a whole, so that it never falls behind the others by more than the largest request, and keeps its
 * inner order.
 */
class FairShares {
public:
    enum class Estimates : std::uint8_t {
        /** Hints are corrected by what the organisation's earlier hints came out at. */
        Corrected,
        /** Hints are taken as exact. */
        Exact,
    };

    explicit FairShares(
        const Dispatch& dispatch, Incarnation dispatcher, Estimates estimates = Estimates::Corrected);

    auto setWeight(OrganisationId organisation, double weight) -> void;
    auto setWaiting(const DemandKey& key, std::uint32_t waiting, std::uint32_t headUnits) -> void;
    auto choose(bool deferrableAllowed) -> std::optional<Choice>;
    auto charge(const DemandKey& key, double units) -> void;
    auto served(const DemandKey& key, double units) -> void;
    auto settled(const DemandKey& key, double hintUnits, double totalUnits) -> void;
    auto apply(const Totals& totals) -> void;
    auto takeTotals() -> std::vector<ServiceTotal>;
    auto backlogged() const -> std::size_t { return lines_[0].size() + lines_[1].size(); }

private:
    /** What waits at one entry router. */
    struct Waiting {
        std::uint32_t count {};
        std::uint32_t headUnits {};
    };
    /** What waits of one class, by entry router; they take turns. */
    struct ClassQueue {
        absl::btree_map<RouterId, Waiting> routers;
        RouterId lastServed;
    };
    struct Account {
        OrganisationId id;
        double weight = 1.0;
        /** Charged service per weight; in the deferrable line less that line's lift. */
        double service {};
        /** Line in which it waits, if any. */
        std::optional<std::size_t> line;
        std::array<ClassQueue, 2> queues;
        /** Decayed sums of stated and of real costs. */
        double statedUnits {};
        double realUnits {};
        /** Units served by this shard, and how many of them the other shards know. */
        double servedUnits {};
        double reportedUnits {};
        bool reportDue {};
    };
    using LineKey = std::pair<double, OrganisationId>;

    auto account(OrganisationId organisation) -> Account&;
    auto addService(Account& account, double service) -> void;
    auto reline(Account& account) -> void;
    auto leaveLine(Account& account) -> void;
    auto enterLine(Account& account, std::size_t line) -> void;
    auto floor() const -> double;
    auto lift(std::size_t line) const -> double { return line == 0 ? 0.0 : deferrableLift_; }
    auto liftDeferrable(double service) -> void;
    auto take(Account& account, std::size_t line) -> Choice;
    auto estimate(const Account& account, double hintUnits) const -> double;
    auto rebase() -> void;

    double quantum_ {};
    bool sharded_ {};
    Estimates estimates_;
    absl::flat_hash_map<OrganisationId, std::unique_ptr<Account>> accounts_;
    /** Backlogged organisations by service: those with interactive work, those with deferrable only. */
    std::array<absl::btree_set<LineKey>, 2> lines_;
    double deferrableLift_ {};
    /** Service of the last chosen organisation before its charge; never goes back. */
    double virtualTime_ {};
    /** The greatest charge per weight seen for one request. */
    double largestRequest_ {};
    RemoteTotals remoteTotals_;
    std::vector<OrganisationId> reportsDue_;
};

static_assert(DispatchPolicy<FairShares>);

} // namespace camphorshunt
