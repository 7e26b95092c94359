#include "slottable.h"

#include <cassert>

namespace camphorshunt {

auto SlotTable::setUpstreams(std::span<const UpstreamCapacity> upstreams) -> void
{
    for (auto& [upstream, use] : uses_)
        use.limit = 0;
    for (const auto& [upstream, slots] : upstreams)
        uses_[upstream].limit = slots;
    absl::erase_if(
        uses_, [](const auto& entry) { return entry.second.limit == 0 && entry.second.used == 0; });

    free_.clear();
    slots_ = 0;
    for (const auto& [upstream, use] : uses_) {
        slots_ += use.limit;
        addToFree(upstream, use);
    }
}

auto SlotTable::leastUsed() const -> std::optional<UpstreamId>
{
    if (free_.empty())
        return std::nullopt;
    return std::get<UpstreamId>(*free_.begin());
}

auto SlotTable::acquire(UpstreamId upstream) -> void
{
    auto& use = uses_[upstream];
    removeFromFree(upstream, use);
    ++use.used;
    ++used_;
    use.lastAcquired = ++acquisitions_;
    addToFree(upstream, use);
}

auto SlotTable::release(UpstreamId upstream) -> void
{
    const auto found = uses_.find(upstream);
    assert(found != uses_.end() && found->second.used > 0);
    removeFromFree(upstream, found->second);
    --found->second.used;
    --used_;
    if (found->second.limit == 0 && found->second.used == 0)
        uses_.erase(found);
    else
        addToFree(upstream, found->second);
}

auto SlotTable::freeKey(UpstreamId upstream, const Use& use) -> FreeKey
{
    return { static_cast<double>(use.used) / use.limit, use.lastAcquired, upstream };
}

auto SlotTable::removeFromFree(UpstreamId upstream, const Use& use) -> void
{
    if (use.used < use.limit)
        free_.erase(freeKey(upstream, use));
}

auto SlotTable::addToFree(UpstreamId upstream, const Use& use) -> void
{
    if (use.used < use.limit)
        free_.insert(freeKey(upstream, use));
}

} // namespace camphorshunt
