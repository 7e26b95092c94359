#include "routershares.h"

namespace camphorshunt {

RouterShares::RouterShares(const Dispatch& dispatch, Incarnation dispatcher)
    : dispatch_(dispatch)
    , dispatcher_(dispatcher)
{
}

auto RouterShares::setWeight(OrganisationId organisation, double weight) -> void
{
    weights_[organisation] = weight;
    for (auto& [router, shares] : routers_)
        shares.setWeight(organisation, weight);
}

auto RouterShares::setWaiting(const DemandKey& key, std::uint32_t waiting, std::uint32_t headUnits) -> void
{
    shares(key.router).setWaiting(key, waiting, headUnits);
    countBacklogged(key, waiting);
}

auto RouterShares::choose(bool deferrableAllowed) -> std::optional<DemandKey>
{
    auto next = routers_.upper_bound(lastServed_);
    for (auto checked = std::size_t { 0 }; checked < routers_.size(); ++checked, ++next) {
        if (next == routers_.end())
            next = routers_.begin();
        const auto choice = next->second.choose(deferrableAllowed);
        if (!choice)
            continue;
        lastServed_ = next->first;
        countBacklogged(*choice, waiting_.at(*choice) - 1);
        return choice;
    }
    return std::nullopt;
}

auto RouterShares::shares(RouterId router) -> FairShares&
{
    const auto [position, isNew] = routers_.try_emplace(router, dispatch_, dispatcher_);
    if (isNew) {
        for (const auto& [organisation, weight] : weights_)
            position->second.setWeight(organisation, weight);
    }
    return position->second;
}

auto RouterShares::countBacklogged(const DemandKey& key, std::uint32_t waiting) -> void
{
    auto& count = waiting_[key];
    if (count == 0 && waiting > 0)
        ++organisations_[key.organisation];
    if (count > 0 && waiting == 0 && --organisations_[key.organisation] == 0)
        organisations_.erase(key.organisation);
    count = waiting;
    if (waiting == 0)
        waiting_.erase(key);
}

} // namespace camphorshunt
