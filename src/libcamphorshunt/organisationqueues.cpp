#include "organisationqueues.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace camphorshunt {

namespace {

/** Generating a token takes an engine about as long as prefilling two. */
constexpr auto generatedTokenCost = 2.0;
/**
 * Limits the recorded service of an organisation that uses idle capacity to this many times that of the next
 * best served one, so that it does not wait long for the others to catch up when their demand rises.
 */
constexpr auto maxAdvance = 1.6;
/** Fraction of the best served organisation's service below which an organisation is underserved. Shares are
 * fair down to one half; the difference leaves room for one large request. */
constexpr auto underservedShare = 0.7;
/**
 * How far an organisation that begins to wait may be behind the best served one, as a part of an equal share
 * of what all organisations got in a window. It bounds the time for which the best served one is held back.
 */
constexpr auto maxCredit = 0.25;

/** Accounts are kept in units that grow with time; they are restarted after this many windows. */
constexpr auto maxEpochWindows = 8;
/** Accounts with less service, in tokens, are dropped. */
constexpr auto minService = 1.0;

auto urgency(const WaitingRequest& waiting) -> std::tuple<std::uint32_t, Time>
{
    return { waiting.request.priority, waiting.request.goal };
}

} // namespace

auto costOf(const Prompt& prompt) -> double
{
    return prompt.tokens + generatedTokenCost * expectedOutput(prompt);
}

auto OrganisationQueues::unit(Time now) const -> double
{
    return std::exp(std::chrono::duration<double>(now - epoch_) / std::chrono::duration<double>(window_));
}

auto OrganisationQueues::rebase(Time now) -> void
{
    const auto factor = 1.0 / unit(now);
    epoch_ = now;
    total_ *= factor;
    for (auto& [id, account] : accounts_) {
        account.service *= factor;
        account.serviceBefore *= factor;
        account.received *= factor;
    }
    absl::erase_if(accounts_,
        [](const auto& entry) { return entry.second.waiting.empty() && entry.second.service < minService; });
}

auto OrganisationQueues::bestService() const -> double
{
    auto best = 0.0;
    for (const auto& [id, account] : accounts_)
        best = std::max(best, account.service);
    return best;
}

auto OrganisationQueues::entryService() const -> double
{
    auto least = std::optional<double> {};
    auto most = 0.0;
    auto waiting = 1.0;
    for (const auto& [id, account] : accounts_) {
        most = std::max(most, account.serviceBefore);
        if (account.waiting.empty())
            continue;
        least = std::min(least.value_or(account.serviceBefore), account.serviceBefore);
        ++waiting;
    }
    const auto entry = most - total_ * maxCredit / waiting;
    return std::max(0.0, std::min(least.value_or(entry), entry));
}

auto OrganisationQueues::serviceOf(Accounts::const_iterator found) const -> double
{
    if (found == accounts_.end())
        return entryService();
    const auto& account = found->second;
    return account.waiting.empty() ? std::max(account.service, entryService()) : account.service;
}

auto OrganisationQueues::add(Time now, WaitingRequest waiting) -> void
{
    waiting.queuedAt = now;
    organisationOf_[waiting.request.key] = waiting.request.organisation;
    const auto service = serviceOf(accounts_.find(waiting.request.organisation));
    auto& account = accounts_[waiting.request.organisation];
    if (account.service < service) {
        account.service = service;
        account.serviceBefore = service;
    }
    account.waitingCost += waiting.cost;
    const auto place = std::ranges::upper_bound(account.waiting, urgency(waiting), {}, urgency);
    account.waiting.insert(place, std::move(waiting));
}

auto OrganisationQueues::remove(const PlacementKey& key) -> std::optional<WaitingRequest>
{
    const auto found = organisationOf_.find(key);
    if (found == organisationOf_.end())
        return std::nullopt;
    const auto organisation = found->second;
    const auto& waiting = accounts_[organisation].waiting;
    const auto place = std::ranges::find_if(
        waiting, [&key](const WaitingRequest& candidate) { return candidate.request.key == key; });
    return take(organisation, static_cast<std::size_t>(place - waiting.begin()));
}

auto OrganisationQueues::take(OrganisationId organisation, std::size_t position) -> WaitingRequest
{
    auto& account = accounts_[organisation];
    const auto place = account.waiting.begin() + static_cast<std::ptrdiff_t>(position);
    auto taken = std::move(*place);
    account.waiting.erase(place);
    account.waitingCost = account.waiting.empty() ? 0 : account.waitingCost - taken.cost;
    organisationOf_.erase(taken.request.key);
    return taken;
}

auto OrganisationQueues::charge(Time now, OrganisationId organisation, double cost) -> void
{
    if (now - epoch_ > maxEpochWindows * window_)
        rebase(now);
    auto best = 0.0;
    for (const auto& [id, other] : accounts_) {
        if (id != organisation)
            best = std::max(best, other.service);
    }
    const auto charged = cost * unit(now);
    total_ += charged;
    auto& account = accounts_[organisation];
    account.received += charged;
    account.serviceBefore = account.service;
    account.service
        = std::max(account.service, std::min(account.service + charged, maxAdvance * best + charged));
}

auto OrganisationQueues::refund(Time chargedAt, OrganisationId organisation, double cost) -> void
{
    const auto found = accounts_.find(organisation);
    if (found == accounts_.end())
        return;
    total_ = std::max(0.0, total_ - cost * unit(chargedAt));
    auto& account = found->second;
    account.received = std::max(0.0, account.received - cost * unit(chargedAt));
    const auto floor = std::min(account.service, entryService());
    account.service = std::max(floor, account.service - cost * unit(chargedAt));
    account.serviceBefore = std::min(account.serviceBefore, account.service);
}

auto OrganisationQueues::leastServedFirst() const -> std::vector<Backlogged>
{
    auto byService = std::vector<std::pair<double, OrganisationId>> {};
    for (const auto& [id, account] : accounts_) {
        if (!account.waiting.empty())
            byService.emplace_back(account.service, id);
    }
    std::ranges::sort(byService);
    const auto limit = underservedShare * bestService();
    auto order = std::vector<Backlogged> {};
    order.reserve(byService.size());
    for (const auto& [service, id] : byService)
        order.push_back({ id, service < limit });
    return order;
}

auto OrganisationQueues::waitingOf(OrganisationId organisation) -> WaitingList&
{
    return accounts_[organisation].waiting;
}

auto OrganisationQueues::costAhead(Time now, const WaitingRequest& waiting) const -> double
{
    const auto organisation = waiting.request.organisation;
    const auto perToken = unit(now);
    auto ahead = 0.0;
    auto level = waiting.cost;
    const auto found = accounts_.find(organisation);
    if (found != accounts_.end()) {
        for (const auto& other : found->second.waiting) {
            if (urgency(other) <= urgency(waiting))
                ahead += other.cost;
        }
    }
    level += serviceOf(found) / perToken + ahead;
    for (const auto& [id, account] : accounts_) {
        if (id != organisation && !account.waiting.empty())
            ahead += std::clamp(level - account.service / perToken, 0.0, account.waitingCost);
    }
    return ahead;
}

auto OrganisationQueues::isUnderserved(OrganisationId organisation) const -> bool
{
    auto best = 0.0;
    for (const auto& [id, account] : accounts_)
        best = std::max(best, account.received);
    const auto found = accounts_.find(organisation);
    return found == accounts_.end() || found->second.received < underservedShare * best;
}

auto OrganisationQueues::stateOf(OrganisationId organisation) const -> State
{
    const auto found = accounts_.find(organisation);
    if (found == accounts_.end())
        return {};
    const auto best = bestService();
    return { found->second.waiting.size(), best > 0 ? serviceOf(found) / best : 0 };
}

auto OrganisationQueues::firstRefusal() const -> std::optional<Time>
{
    auto first = std::optional<Time> {};
    for (const auto& [id, account] : accounts_) {
        for (const auto& waiting : account.waiting)
            first = std::min(first.value_or(waiting.refuseAt), waiting.refuseAt);
    }
    return first;
}

} // namespace camphorshunt
