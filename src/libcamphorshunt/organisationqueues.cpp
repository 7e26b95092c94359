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

auto urgency(const WaitingRequest& waiting) -> std::tuple<std::uint32_t, Time>
{
    return { waiting.request.priority, waiting.request.goal };
}

} // namespace

auto costOf(const Prompt& prompt) -> double
{
    return prompt.tokens + generatedTokenCost * expectedOutput(prompt);
}

auto OrganisationQueues::recentServiceOf(Time now, const Account& account) const -> double
{
    const auto age = std::chrono::duration<double>(now - account.chargedAt);
    return account.service * std::exp(-age / std::chrono::duration<double>(window_));
}

auto OrganisationQueues::add(Time now, WaitingRequest waiting) -> void
{
    waiting.queuedAt = now;
    auto& account = accounts_[waiting.request.organisation];
    account.waitingCost += waiting.cost;
    const auto place = std::ranges::upper_bound(account.waiting, urgency(waiting), {}, urgency);
    account.waiting.insert(place, std::move(waiting));
    ++size_;
}

auto OrganisationQueues::remove(const PlacementKey& key) -> std::optional<WaitingRequest>
{
    auto removed = removeIf([&key](const WaitingRequest& waiting) { return waiting.request.key == key; });
    if (removed.empty())
        return std::nullopt;
    return std::move(removed.front());
}

auto OrganisationQueues::charge(Time now, OrganisationId organisation, double cost) -> void
{
    auto best = 0.0;
    for (const auto& [id, other] : accounts_) {
        if (id != organisation)
            best = std::max(best, recentServiceOf(now, other));
    }
    auto& account = accounts_[organisation];
    const auto before = recentServiceOf(now, account);
    account.service = std::max(before, std::min(before + cost, maxAdvance * best + cost));
    account.chargedAt = now;
}

auto OrganisationQueues::leastServedFirst(Time now) -> std::vector<OrganisationId>
{
    auto backlogged = std::vector<std::pair<double, OrganisationId>> {};
    for (const auto& [id, account] : accounts_) {
        if (!account.waiting.empty())
            backlogged.emplace_back(recentServiceOf(now, account), id);
    }
    std::ranges::sort(backlogged);
    auto order = std::vector<OrganisationId> {};
    order.reserve(backlogged.size());
    for (const auto& [service, id] : backlogged)
        order.push_back(id);
    return order;
}

auto OrganisationQueues::waitingOf(OrganisationId organisation) -> WaitingList&
{
    return accounts_[organisation].waiting;
}

auto OrganisationQueues::costAhead(Time now, const WaitingRequest& waiting) const -> double
{
    const auto organisation = waiting.request.organisation;
    auto ahead = 0.0;
    auto level = waiting.cost;
    const auto found = accounts_.find(organisation);
    if (found != accounts_.end()) {
        for (const auto& other : found->second.waiting) {
            if (urgency(other) <= urgency(waiting))
                ahead += other.cost;
        }
        level += recentServiceOf(now, found->second) + ahead;
    }
    for (const auto& [id, account] : accounts_) {
        if (id != organisation && !account.waiting.empty())
            ahead += std::clamp(level - recentServiceOf(now, account), 0.0, account.waitingCost);
    }
    return ahead;
}

auto OrganisationQueues::isUnderserved(Time now, OrganisationId organisation) const -> bool
{
    auto best = 0.0;
    for (const auto& [id, account] : accounts_)
        best = std::max(best, recentServiceOf(now, account));
    const auto found = accounts_.find(organisation);
    return found == accounts_.end() || recentServiceOf(now, found->second) < underservedShare * best;
}

auto OrganisationQueues::removeIf(const std::function<bool(const WaitingRequest&)>& matches) -> WaitingList
{
    auto removed = WaitingList {};
    for (auto& [id, account] : accounts_) {
        auto kept = account.waiting.begin();
        for (auto next = account.waiting.begin(); next != account.waiting.end(); ++next) {
            if (matches(*next)) {
                account.waitingCost -= next->cost;
                removed.push_back(std::move(*next));
                continue;
            }
            if (kept != next)
                *kept = std::move(*next);
            ++kept;
        }
        account.waiting.erase(kept, account.waiting.end());
        if (account.waiting.empty())
            account.waitingCost = 0;
    }
    size_ -= removed.size();
    return removed;
}

} // namespace camphorshunt
