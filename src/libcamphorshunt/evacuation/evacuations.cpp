#include "evacuation/evacuations.h"

#include <algorithm>
#include <iterator>

namespace camphorshunt {

auto Evacuations::set(Time now, const std::string& domain, bool active, std::vector<Change>& changes) -> void
{
    const auto found = since_.find(domain);
    if (active == (found != since_.end()) || (active && since_.size() >= maxDomains))
        return;
    if (active)
        since_.emplace(domain, now);
    else
        since_.erase(found);
    changes.push_back({ domain, active });
}

auto Evacuations::replaceAll(Time now, std::span<const std::string> domains) -> std::vector<Change>
{
    auto changes = std::vector<Change> {};
    auto ended = std::vector<std::string> {};
    for (const auto& [domain, since] : since_) {
        if (std::ranges::find(domains, domain) == domains.end())
            ended.push_back(domain);
    }
    for (const auto& domain : ended)
        set(now, domain, false, changes);
    for (const auto& domain : domains)
        set(now, domain, true, changes);
    return changes;
}

auto Evacuations::apply(Time now, const EvacuationRead& read) -> std::vector<Change>
{
    const auto isUnused = position_ == LogPosition {};
    const auto isNews = read.position > position_ || (read.isSnapshot && read.position == position_);
    if (!isNews || (isUnused && read.records.empty()))
        return {};
    auto changes = std::vector<Change> {};
    if (read.isSnapshot) {
        auto domains = std::vector<std::string> {};
        for (const auto& record : read.records) {
            if (record.active)
                domains.push_back(record.domain);
        }
        changes = replaceAll(now, domains);
    } else {
        // Offsets of another era say nothing about what is in force; a snapshot follows.
        if (!isUnused && read.position.era != position_.era)
            return {};
        for (const auto& record : read.records) {
            if (isUnused || record.offset >= position_.end)
                set(now, record.domain, record.active, changes);
        }
    }
    position_ = read.position;
    return changes;
}

auto Evacuations::apply(Time now, const EvacuationState& told) -> std::vector<Change>
{
    if (told.position <= position_)
        return {};
    position_ = told.position;
    return replaceAll(now, told.domains);
}

auto Evacuations::state() const -> EvacuationState
{
    auto state = EvacuationState { position_, {} };
    std::ranges::transform(
        since_, std::back_inserter(state.domains), [](const auto& item) { return item.first; });
    return state;
}

} // namespace camphorshunt
