#include "fairshares.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace camphorshunt {

namespace {

constexpr auto kInteractive = std::size_t { 0 };
constexpr auto kDeferrable = std::size_t { 1 };

/** Costs are averaged over about this many advances' worth of service. */
constexpr auto kCostWindow = 64.0;
/** The advance follows the costs when it is off by more than this factor. */
constexpr auto kAdvanceTolerance = 1.25;
/** Service per weight at which all accounts are moved back to zero, so that sums stay exact. */
constexpr auto kRebaseAt = 1e9;

auto lineOf(RequestClass requestClass) -> std::size_t
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
    auto& changed = account(organisation);
    changed.weight = weight;
    relist(changed);
}

auto FairShares::setWaiting(const DemandKey& key, std::uint32_t waiting, std::uint32_t headUnits) -> void
{
    auto& changed = account(key.organisation);
    auto& routers = changed.queues[lineOf(key.requestClass)].routers;
    if (waiting == 0)
        routers.erase(key.router);
    else
        routers[key.router] = waiting;
    // Until the first request has ended, any cost will do, as long as it is the same for all.
    if (advance_ <= 0 && waiting > 0)
        advance_ = std::max(1.0, static_cast<double>(headUnits));
    reline(changed);
}

auto FairShares::choose(bool deferrableAllowed) -> std::optional<DemandKey>
{
    auto line = kInteractive;
    const auto& interactive = lines_[kInteractive];
    const auto& deferrable = lines_[kDeferrable];
    if (deferrableAllowed && !deferrable.empty()
        && (interactive.empty() || deferrable.begin()->first + deferrableLift_ < interactive.begin()->first))
        line = kDeferrable;
    if (lines_[line].empty())
        return std::nullopt;

    const auto [listed, organisation] = *lines_[line].begin();
    const auto chosenAt = listed + lift(line);
    virtualTime_ = std::max(virtualTime_, chosenAt);
    if (!deferrableAllowed)
        liftDeferrable(chosenAt - largestRequest_);
    const auto choice = take(account(organisation), line);
    if (virtualTime_ > kRebaseAt)
        rebase();
    return choice;
}

auto FairShares::requestProgressed(const DemandKey& key, double units) -> void
{
    auto& server = account(key.organisation);
    server.service += units / server.weight;
    relist(server);

    server.servedUnits += units;
    server.advancedUnits -= std::min(server.advancedUnits, units);
    noteTotal(server);
}

/**
 * The other shards are told of work when it is handed out. Were they told of what is served alone, all
 * shards would turn to the same organisation at once, until its work shows.
 */
auto FairShares::noteTotal(Account& account) -> void
{
    const auto total = account.servedUnits + account.advancedUnits;
    if (!sharded_ || account.reportDue || total - account.reportedUnits < quantum_)
        return;
    account.reportDue = true;
    reportsDue_.push_back(account.id);
}

auto FairShares::requestEnded(const DemandKey& key, double servedUnits) -> void
{
    auto& server = account(key.organisation);
    assert(server.running > 0);
    server.advancedUnits -= server.advancedUnits / server.running;
    --server.running;
    relist(server);
    if (servedUnits <= 0)
        return;
    largestRequest_ = std::max(largestRequest_, servedUnits / server.weight);
    learnCost(servedUnits);
}

auto FairShares::adoptRequest(const DemandKey& key) -> void
{
    auto& server = account(key.organisation);
    ++server.running;
    server.service -= advance_ / server.weight;
}

auto FairShares::apply(const Totals& totals) -> void
{
    for (const auto& [organisation, units] : remoteTotals_.increments(totals)) {
        auto& known = account(organisation);
        known.service += units / known.weight;
        relist(known);
    }
}

auto FairShares::takeTotals() -> std::vector<ServiceTotal>
{
    auto totals = std::vector<ServiceTotal> {};
    totals.reserve(reportsDue_.size());
    for (const auto organisation : reportsDue_) {
        auto& reported = account(organisation);
        reported.reportDue = false;
        // A request that ended below its advance makes the sum fall; totals only rise.
        const auto total = reported.servedUnits + reported.advancedUnits;
        if (total - reported.reportedUnits < quantum_)
            continue;
        reported.reportedUnits = total;
        totals.push_back(ServiceTotal { organisation, total });
    }
    reportsDue_.clear();
    return totals;
}

auto FairShares::account(OrganisationId organisation) -> Account&
{
    auto& known = accounts_[organisation];
    if (!known) {
        known = std::make_unique<Account>();
        known->id = organisation;
    }
    return *known;
}

auto FairShares::level(const Account& account) const -> double
{
    return account.service + advance_ * account.running / account.weight;
}

auto FairShares::list(Account& account) -> void
{
    account.listed = level(account);
    lines_[*account.line].insert({ account.listed, account.id });
}

auto FairShares::unlist(Account& account) -> void
{
    lines_[*account.line].erase({ account.listed, account.id });
}

auto FairShares::relist(Account& account) -> void
{
    if (!account.line)
        return;
    unlist(account);
    list(account);
}

auto FairShares::reline(Account& account) -> void
{
    auto wanted = std::optional<std::size_t> {};
    if (!account.queues[kInteractive].routers.empty())
        wanted = kInteractive;
    else if (!account.queues[kDeferrable].routers.empty())
        wanted = kDeferrable;
    if (wanted == account.line)
        return;

    if (account.line) {
        unlist(account);
        account.service += lift(*account.line);
    } else {
        account.service += std::max(0.0, floor() - level(account));
    }
    account.line = wanted;
    if (!wanted)
        return;
    account.service -= lift(*wanted);
    list(account);
}

auto FairShares::floor() const -> double
{
    auto least = std::optional<double> {};
    for (auto line = std::size_t { 0 }; line < lines_.size(); ++line) {
        if (lines_[line].empty())
            continue;
        const auto first = lines_[line].begin()->first + lift(line);
        least = std::min(least.value_or(first), first);
    }
    return least.value_or(virtualTime_);
}

auto FairShares::liftDeferrable(double level) -> void
{
    const auto& line = lines_[kDeferrable];
    if (!line.empty())
        deferrableLift_ = std::max(deferrableLift_, level - line.begin()->first);
}

auto FairShares::take(Account& account, std::size_t line) -> DemandKey
{
    auto& queue = account.queues[line];
    auto next = queue.routers.upper_bound(queue.lastServed);
    if (next == queue.routers.end())
        next = queue.routers.begin();
    const auto router = next->first;
    queue.lastServed = router;
    if (--next->second == 0)
        queue.routers.erase(next);

    ++account.running;
    account.advancedUnits += advance_;
    noteTotal(account);
    relist(account);
    reline(account);
    const auto requestClass = line == kInteractive ? RequestClass::Interactive : RequestClass::Deferrable;
    return DemandKey { router, account.id, requestClass };
}

/**
 * The advance is the mean cost weighted by cost, so that many small requests do not hide the large
 * ones that hold most slots.
 */
auto FairShares::learnCost(double units) -> void
{
    const auto typical = costs_ > 0 ? squaredCosts_ / costs_ : units;
    const auto kept = std::exp(-units / (kCostWindow * typical));
    costs_ = costs_ * kept + units;
    squaredCosts_ = squaredCosts_ * kept + units * units;
    const auto wanted = squaredCosts_ / costs_;
    if (wanted > advance_ * kAdvanceTolerance || wanted * kAdvanceTolerance < advance_)
        setAdvance(wanted);
}

auto FairShares::setAdvance(double units) -> void
{
    advance_ = units;
    for (auto& [organisation, account] : accounts_) {
        if (account->running > 0)
            relist(*account);
    }
}

auto FairShares::rebase() -> void
{
    for (auto& line : lines_)
        line.clear();
    for (auto& [organisation, account] : accounts_) {
        account->service -= virtualTime_ - (account->line ? lift(*account->line) : 0.0);
        if (account->line)
            list(*account);
    }
    deferrableLift_ = 0;
    virtualTime_ = 0;
}

} // namespace camphorshunt
