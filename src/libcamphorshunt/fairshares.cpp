#include "fairshares.h"

#include <algorithm>

namespace camphorshunt {

namespace {

constexpr auto kInteractive = std::size_t { 0 };
constexpr auto kDeferrable = std::size_t { 1 };

/** What remains of the history of stated and real costs after one more request. */
constexpr auto kHistoryKept = 0.8;
/** Bounds of the correction of hints. */
constexpr auto kLeastRatio = 1.0 / 64;
constexpr auto kMostRatio = 64.0;
/** Service per weight at which all accounts are moved back to zero, so that sums stay exact. */
constexpr auto kRebaseAt = 1e9;

auto lineOf(RequestClass requestClass) -> std::size_t
{
    return requestClass == RequestClass::Interactive ? kInteractive : kDeferrable;
}

} // namespace

FairShares::FairShares(const Dispatch& dispatch, Incarnation dispatcher, Estimates estimates)
    : quantum_(dispatch.quantum)
    , sharded_(dispatch.shards > 1)
    , estimates_(estimates)
    , remoteTotals_(dispatcher, dispatch.quantum)
{
}

auto FairShares::setWeight(OrganisationId organisation, double weight) -> void
{
    auto& changed = account(organisation);
    if (weight > 0)
        changed.weight = weight;
}

auto FairShares::setWaiting(const DemandKey& key, std::uint32_t waiting, std::uint32_t headUnits) -> void
{
    auto& changed = account(key.organisation);
    auto& routers = changed.queues[lineOf(key.requestClass)].routers;
    if (waiting == 0)
        routers.erase(key.router);
    else
        routers[key.router] = Waiting { waiting, headUnits };
    reline(changed);
}

auto FairShares::choose(bool deferrableAllowed) -> std::optional<Choice>
{
    auto line = kInteractive;
    const auto& interactive = lines_[kInteractive];
    const auto& deferrable = lines_[kDeferrable];
    if (deferrableAllowed && !deferrable.empty()
        && (interactive.empty() || deferrable.begin()->first + deferrableLift_ < interactive.begin()->first))
        line = kDeferrable;
    if (lines_[line].empty())
        return std::nullopt;

    const auto [service, organisation] = *lines_[line].begin();
    const auto level = service + lift(line);
    virtualTime_ = std::max(virtualTime_, level);
    if (!deferrableAllowed)
        liftDeferrable(level - largestRequest_);
    auto choice = take(account(organisation), line);
    if (virtualTime_ > kRebaseAt)
        rebase();
    return choice;
}

auto FairShares::charge(const DemandKey& key, double units) -> void
{
    auto& charged = account(key.organisation);
    addService(charged, units / charged.weight);
}

auto FairShares::served(const DemandKey& key, double units) -> void
{
    auto& server = account(key.organisation);
    server.servedUnits += units;
    if (!sharded_ || server.reportDue || server.servedUnits - server.reportedUnits < quantum_)
        return;
    server.reportDue = true;
    reportsDue_.push_back(server.id);
}

auto FairShares::settled(const DemandKey& key, double hintUnits, double totalUnits) -> void
{
    auto& known = account(key.organisation);
    known.statedUnits = known.statedUnits * kHistoryKept + hintUnits;
    known.realUnits = known.realUnits * kHistoryKept + totalUnits;
    largestRequest_ = std::max(largestRequest_, totalUnits / known.weight);
}

auto FairShares::apply(const Totals& totals) -> void
{
    for (const auto& [organisation, units] : remoteTotals_.increments(totals)) {
        auto& known = account(organisation);
        addService(known, units / known.weight);
    }
}

auto FairShares::takeTotals() -> std::vector<ServiceTotal>
{
    auto totals = std::vector<ServiceTotal> {};
    totals.reserve(reportsDue_.size());
    for (const auto organisation : reportsDue_) {
        auto& reported = account(organisation);
        reported.reportDue = false;
        reported.reportedUnits = reported.servedUnits;
        totals.push_back(ServiceTotal { organisation, reported.servedUnits });
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

auto FairShares::addService(Account& account, double service) -> void
{
    const auto line = account.line;
    if (line)
        lines_[*line].erase({ account.service, account.id });
    account.service += service;
    if (line)
        lines_[*line].insert({ account.service, account.id });
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

    const auto wasIdle = !account.line;
    leaveLine(account);
    if (!wanted)
        return;
    if (wasIdle)
        account.service = std::max(account.service, floor());
    enterLine(account, *wanted);
}

auto FairShares::leaveLine(Account& account) -> void
{
    if (!account.line)
        return;
    lines_[*account.line].erase({ account.service, account.id });
    account.service += lift(*account.line);
    account.line.reset();
}

auto FairShares::enterLine(Account& account, std::size_t line) -> void
{
    account.service -= lift(line);
    account.line = line;
    lines_[line].insert({ account.service, account.id });
}

auto FairShares::floor() const -> double
{
    auto least = std::optional<double> {};
    for (auto line = std::size_t { 0 }; line < lines_.size(); ++line) {
        if (lines_[line].empty())
            continue;
        const auto level = lines_[line].begin()->first + lift(line);
        least = std::min(least.value_or(level), level);
    }
    return least.value_or(virtualTime_);
}

auto FairShares::liftDeferrable(double service) -> void
{
    const auto& line = lines_[kDeferrable];
    if (!line.empty())
        deferrableLift_ = std::max(deferrableLift_, service - line.begin()->first);
}

auto FairShares::take(Account& account, std::size_t line) -> Choice
{
    auto& queue = account.queues[line];
    auto next = queue.routers.upper_bound(queue.lastServed);
    if (next == queue.routers.end())
        next = queue.routers.begin();
    const auto router = next->first;
    const auto hint = std::max(1.0, static_cast<double>(next->second.headUnits));
    queue.lastServed = router;
    if (--next->second.count == 0)
        queue.routers.erase(next);

    const auto charged = estimate(account, hint);
    addService(account, charged / account.weight);
    reline(account);
    const auto requestClass = line == kInteractive ? RequestClass::Interactive : RequestClass::Deferrable;
    return Choice { DemandKey { router, account.id, requestClass }, hint, charged };
}

auto FairShares::estimate(const Account& account, double hintUnits) const -> double
{
    if (estimates_ == Estimates::Exact || account.statedUnits <= 0)
        return hintUnits;
    return hintUnits * std::clamp(account.realUnits / account.statedUnits, kLeastRatio, kMostRatio);
}

auto FairShares::rebase() -> void
{
    for (auto& line : lines_)
        line.clear();
    for (auto& [id, account] : accounts_) {
        account->service -= virtualTime_ - (account->line ? lift(*account->line) : 0.0);
        if (account->line)
            lines_[*account->line].insert({ account->service, id });
    }
    deferrableLift_ = 0;
    virtualTime_ = 0;
}

} // namespace camphorshunt
