#include "promptcacheindex.h"

#include <algorithm>

namespace camphorshunt {

auto PromptCacheIndex::add(Chain chain, UpstreamId engine) -> void
{
    auto& holders = holders_[chain];
    const auto place = std::ranges::lower_bound(holders, engine);
    if (place == holders.end() || *place != engine)
        holders.insert(place, engine);
}

auto PromptCacheIndex::remove(Chain chain, UpstreamId engine) -> void
{
    const auto found = holders_.find(chain);
    if (found == holders_.end())
        return;
    auto& holders = found->second;
    const auto place = std::ranges::lower_bound(holders, engine);
    if (place != holders.end() && *place == engine)
        holders.erase(place);
    if (holders.empty())
        holders_.erase(found);
}

auto PromptCacheIndex::holdersOf(Chain chain) const -> std::span<const UpstreamId>
{
    const auto found = holders_.find(chain);
    if (found == holders_.end())
        return {};
    return found->second;
}

} // namespace camphorshunt
