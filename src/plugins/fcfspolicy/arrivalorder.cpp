#include "arrivalorder.h"

#include <algorithm>

namespace camphorshunt {

auto ArrivalOrder::setWaiting(const DemandKey& key, std::uint32_t waiting, std::uint32_t headUnits) -> void
{
    auto& counts = waiting_[key];
    countOrganisation(key, counts.count, waiting);
    counts.count = waiting;
    if (waiting > counts.queued) {
        auto& queue = queues_[key.requestClass == RequestClass::Interactive ? 0 : 1];
        queue.push_back(Arrivals { key, waiting - counts.queued, ++arrivals_ });
        counts.queued = waiting;
    }
    if (counts.queued == 0)
        waiting_.erase(key);
}

auto ArrivalOrder::choose(bool deferrableAllowed) -> std::optional<DemandKey>
{
    for (auto& queue : queues_)
        dropStale(queue);
    auto& [interactive, deferrable] = queues_;
    const auto useDeferrable = deferrableAllowed && !deferrable.empty()
        && (interactive.empty() || deferrable.front().order < interactive.front().order);
    auto& queue = useDeferrable ? deferrable : interactive;
    if (queue.empty())
        return std::nullopt;

    const auto key = queue.front().key;
    auto& counts = waiting_.at(key);
    countOrganisation(key, counts.count, counts.count - 1);
    --counts.count;
    --counts.queued;
    if (counts.queued == 0)
        waiting_.erase(key);
    if (--queue.front().count == 0)
        queue.pop_front();
    return key;
}

auto ArrivalOrder::dropStale(Queue& queue) -> void
{
    while (!queue.empty()) {
        auto& front = queue.front();
        const auto found = waiting_.find(front.key);
        auto& counts = found->second;
        const auto stale = std::min(front.count, counts.queued - counts.count);
        front.count -= stale;
        counts.queued -= stale;
        if (counts.queued == 0)
            waiting_.erase(found);
        if (front.count > 0)
            return;
        queue.pop_front();
    }
}

auto ArrivalOrder::countOrganisation(const DemandKey& key, std::uint32_t before, std::uint32_t after) -> void
{
    if (before == 0 && after > 0)
        ++organisations_[key.organisation];
    if (before > 0 && after == 0 && --organisations_[key.organisation] == 0)
        organisations_.erase(key.organisation);
}

} // namespace camphorshunt
