#include "fairshares.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace camphorshunt {

namespace {

constexpr auto kInteractive = std::size_t { 0 };
constexpr auto kDeferrable = std::size_t { 1 };

/** Window of the decayed average of costs, in requests of average cost. */
constexpr auto kCostWindow = 64.0;
/** The advance is updated when it differs from the average cost by more than this factor. */
constexpr auto kAdvanceTolerance = 1.25;
/** Service per weight at which all accounts are shifted back to zero, so that sums stay exact. */
constexpr auto kRebaseThreshold = 1e9;

auto classIndexOf(RequestClass requestClass) -> std::size_t
{
    return requestClass == RequestClass::Interactive ? kInteractive : kDeferrable;
}

} // namespace

FairShares::FairShares(const Dispatch& dispatch, Incarnation dispatcher)
    : quantum_(dispatch.quantum)
    , sharded_(dispatch.shards > 1)
    , remoteTotals_(dispatcher, dispatch.quantum)
{
}

auto FairShares::setWeight(OrganisationId organisation, double weight) -> void
{
    assert(weight > 0);
    auto& account = accountOf(organisation);
    account.weight = weight;
    updateBacklogPosition(account);
}

auto FairShares::setWaiting(const DemandKey& key, std::uint32_t waiting, std::uint32_t headUnits) -> void
{
    auto& account = accountOf(key.organisation);
    auto& routers = account.queues[classIndexOf(key.requestClass)].routers;
    if (waiting == 0)
        routers.erase(key.router);
    else
        routers[key.router] = waiting;
    // Until the first request has ended, any advance serves, as long as it is the same for all.
    if (advance_ <= 0 && waiting > 0)
        advance_ = std::max(1.0, static_cast<double>(headUnits));
    updateBacklogClass(account);
}

auto FairShares::choose(bool deferrableAllowed) -> std::optional<DemandKey>
{
    auto classIndex = kInteractive;
    const auto& interactive = backlogs_[kInteractive];
    const auto& deferrable = backlogs_[kDeferrable];
    if (deferrableAllowed && !deferrable.empty()
        && (interactive.empty()
            || deferrable.begin()->first + deferrableOffset_ < interactive.begin()->first))
        classIndex = kDeferrable;
    if (backlogs_[classIndex].empty())
        return std::nullopt;

    const auto [backlogLevel, organisation] = *backlogs_[classIndex].begin();
    const auto chosenAt = backlogLevel + offsetOf(classIndex);
    virtualTime_ = std::max(virtualTime_, chosenAt);
    if (!deferrableAllowed)
        raiseDeferrable(chosenAt - maxRequestCost_);
    const auto choice = takeNext(accountOf(organisation), classIndex);
    if (virtualTime_ > kRebaseThreshold)
        rebase();
    return choice;
}

auto FairShares::requestProgressed(const DemandKey& key, double units) -> void
{
    auto& account = accountOf(key.organisation);
    account.service += units / account.weight;
    updateBacklogPosition(account);

    account.servedUnits += units;
    account.advancedUnits -= std::min(account.advancedUnits, units);
    scheduleReport(account);
}

/**
 * Work is reported to the other shards when it is granted. If only served units were reported, all shards
 * would choose the same organisation at the same time, until its work shows in the totals.
 */
auto FairShares::scheduleReport(Account& account) -> void
{
    const auto total = account.servedUnits + account.advancedUnits;
    if (!sharded_ || account.reportDue || total - account.reportedUnits < quantum_)
        return;
    account.reportDue = true;
    reportsDue_.push_back(account.id);
}

auto FairShares::requestEnded(const DemandKey& key, double servedUnits) -> void
{
    auto& account = accountOf(key.organisation);
    assert(account.running > 0);
    account.advancedUnits -= account.advancedUnits / account.running;
    --account.running;
    updateBacklogPosition(account);
    if (servedUnits <= 0)
        return;
    maxRequestCost_ = std::max(maxRequestCost_, servedUnits / account.weight);
    updateAdvance(servedUnits);
}

auto FairShares::adoptRequest(const DemandKey& key) -> void
{
    auto& account = accountOf(key.organisation);
    ++account.running;
    account.service -= advance_ / account.weight;
}

auto FairShares::apply(const Totals& totals) -> void
{
    for (const auto& [organisation, units] : remoteTotals_.increments(totals)) {
        auto& account = accountOf(organisation);
        account.service += units / account.weight;
        updateBacklogPosition(account);
    }
}

auto FairShares::takeTotals() -> std::vector<ServiceTotal>
{
    auto totals = std::vector<ServiceTotal> {};
    totals.reserve(reportsDue_.size());
    for (const auto organisation : reportsDue_) {
        auto& account = accountOf(organisation);
        account.reportDue = false;
        // A request that ended below its advance reduces the sum, but reported totals must not decrease.
        const auto total = account.servedUnits + account.advancedUnits;
        if (total - account.reportedUnits < quantum_)
            continue;
        account.reportedUnits = total;
        totals.push_back(ServiceTotal { organisation, total });
    }
    reportsDue_.clear();
    return totals;
}

auto FairShares::accountOf(OrganisationId organisation) -> Account&
{
    auto& entry = accounts_[organisation];
    if (!entry) {
        entry = std::make_unique<Account>();
        entry->id = organisation;
    }
    return *entry;
}

auto FairShares::level(const Account& account) const -> double
{
    return account.service + advance_ * account.running / account.weight;
}

auto FairShares::insertIntoBacklog(Account& account) -> void
{
    account.backlogLevel = level(account);
    backlogs_[*account.classIndex].insert({ account.backlogLevel, account.id });
}

auto FairShares::removeFromBacklog(Account& account) -> void
{
    backlogs_[*account.classIndex].erase({ account.backlogLevel, account.id });
}

auto FairShares::updateBacklogPosition(Account& account) -> void
{
    if (!account.classIndex)
        return;
    removeFromBacklog(account);
    insertIntoBacklog(account);
}

auto FairShares::updateBacklogClass(Account& account) -> void
{
    auto wanted = std::optional<std::size_t> {};
    if (!account.queues[kInteractive].routers.empty())
        wanted = kInteractive;
    else if (!account.queues[kDeferrable].routers.empty())
        wanted = kDeferrable;
    if (wanted == account.classIndex)
        return;

    if (account.classIndex) {
        removeFromBacklog(account);
        account.service += offsetOf(*account.classIndex);
    } else {
        account.service += std::max(0.0, lowestBackloggedLevel() - level(account));
    }
    account.classIndex = wanted;
    if (!wanted)
        return;
    account.service -= offsetOf(*wanted);
    insertIntoBacklog(account);
}

auto FairShares::lowestBackloggedLevel() const -> double
{
    auto lowest = std::optional<double> {};
    for (auto classIndex = std::size_t { 0 }; classIndex < backlogs_.size(); ++classIndex) {
        if (backlogs_[classIndex].empty())
            continue;
        const auto first = backlogs_[classIndex].begin()->first + offsetOf(classIndex);
        lowest = std::min(lowest.value_or(first), first);
    }
    return lowest.value_or(virtualTime_);
}

auto FairShares::raiseDeferrable(double level) -> void
{
    const auto& backlog = backlogs_[kDeferrable];
    if (!backlog.empty())
        deferrableOffset_ = std::max(deferrableOffset_, level - backlog.begin()->first);
}

auto FairShares::takeNext(Account& account, std::size_t classIndex) -> DemandKey
{
    auto& queue = account.queues[classIndex];
    auto next = queue.routers.upper_bound(queue.lastServed);
    if (next == queue.routers.end())
        next = queue.routers.begin();
    const auto router = next->first;
    queue.lastServed = router;
    if (--next->second == 0)
        queue.routers.erase(next);

    ++account.running;
    account.advancedUnits += advance_;
    scheduleReport(account);
    updateBacklogPosition(account);
    updateBacklogClass(account);
    const auto requestClass
        = classIndex == kInteractive ? RequestClass::Interactive : RequestClass::Deferrable;
    return DemandKey { router, account.id, requestClass };
}

/**
 * The advance is the mean cost weighted by cost, so that many small requests do not hide the large ones
 * that occupy most slots.
 */
auto FairShares::updateAdvance(double units) -> void
{
    const auto typical = costs_ > 0 ? squaredCosts_ / costs_ : units;
    const auto decay = std::exp(-units / (kCostWindow * typical));
    costs_ = costs_ * decay + units;
    squaredCosts_ = squaredCosts_ * decay + units * units;
    const auto wanted = squaredCosts_ / costs_;
    if (wanted > advance_ * kAdvanceTolerance || wanted * kAdvanceTolerance < advance_)
        setAdvance(wanted);
}

auto FairShares::setAdvance(double units) -> void
{
    advance_ = units;
    for (auto& [organisation, account] : accounts_) {
        if (account->running > 0)
            updateBacklogPosition(*account);
    }
}

auto FairShares::rebase() -> void
{
    for (auto& backlog : backlogs_)
        backlog.clear();
    for (auto& [organisation, account] : accounts_) {
        account->service -= virtualTime_ - (account->classIndex ? offsetOf(*account->classIndex) : 0.0);
        if (account->classIndex)
            insertIntoBacklog(*account);
    }
    deferrableOffset_ = 0;
    virtualTime_ = 0;
}

} // namespace camphorshunt
