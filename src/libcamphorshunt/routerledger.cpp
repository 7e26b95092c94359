#include "routerledger.h"

#include <algorithm>

namespace camphorshunt {

auto RouterLedger::setDemand(const DemandEntry& entry) -> void
{
    const auto key = DemandKey { router_, entry.organisation, entry.requestClass };
    counts_[key].reported = entry.waiting;
    eraseIfEmpty(key);
}

auto RouterLedger::clearDemand() -> std::vector<DemandKey>
{
    auto keys = std::vector<DemandKey> {};
    keys.reserve(counts_.size());
    for (auto& [key, count] : counts_) {
        keys.push_back(key);
        count.reported = 0;
    }
    absl::erase_if(counts_, [](const auto& entry) { return entry.second.granted == 0; });
    std::ranges::sort(keys);
    return keys;
}

auto RouterLedger::acknowledge(std::uint64_t sequence) -> void
{
    while (!unacknowledged_.empty() && unacknowledged_.front().sequence <= sequence) {
        const auto key = unacknowledged_.front().key;
        unacknowledged_.pop_front();
        // The router has assigned the grant to a request, or returns it unused because none waits. In both
        // cases one request fewer waits.
        auto& count = counts_[key];
        --count.granted;
        if (count.reported > 0)
            --count.reported;
        eraseIfEmpty(key);
    }
}

auto RouterLedger::dropUnacknowledged() -> void
{
    for (const auto& [sequence, key] : unacknowledged_) {
        --counts_[key].granted;
        eraseIfEmpty(key);
    }
    unacknowledged_.clear();
}

auto RouterLedger::waiting(const DemandKey& key) const -> std::uint32_t
{
    const auto found = counts_.find(key);
    if (found == counts_.end())
        return 0;
    const auto [reported, granted] = found->second;
    return reported > granted ? reported - granted : 0;
}

auto RouterLedger::addGrant(GrantId id, const OutstandingGrant& grant) -> void
{
    slots_.emplace(id, grant);
    ++counts_[grant.key].granted;
    unacknowledged_.push_back(Unacknowledged { grant.sequence, grant.key });
}

auto RouterLedger::addHeld(const HeldSlot& held) -> void
{
    const auto key = DemandKey { router_, held.organisation, held.requestClass };
    slots_.emplace(held.grant, OutstandingGrant { key, held.upstream, 0, held.chargedUnits });
}

auto RouterLedger::eraseIfEmpty(const DemandKey& key) -> void
{
    const auto found = counts_.find(key);
    if (found != counts_.end() && found->second.reported == 0 && found->second.granted == 0)
        counts_.erase(found);
}

} // namespace camphorshunt
