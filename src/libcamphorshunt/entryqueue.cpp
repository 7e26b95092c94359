#include "entryqueue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace camphorshunt {

namespace {

auto classIndexOf(RequestClass requestClass) -> std::size_t
{
    return requestClass == RequestClass::Interactive ? 0 : 1;
}

auto classAt(std::size_t classIndex) -> RequestClass
{
    return classIndex == 0 ? RequestClass::Interactive : RequestClass::Deferrable;
}

auto roundUpUnits(double units) -> std::uint32_t
{
    constexpr auto kMaxUnits = static_cast<double>(std::numeric_limits<std::uint32_t>::max());
    if (!(units > 1.0))
        return 1;
    return static_cast<std::uint32_t>(std::ceil(std::min(units, kMaxUnits)));
}

template <typename ClassQueue>
auto entryOf(OrganisationId organisation, std::size_t classIndex, const ClassQueue& waiting) -> DemandEntry
{
    return DemandEntry { organisation, classAt(classIndex), static_cast<std::uint32_t>(waiting.size()),
        waiting.empty() ? 0 : roundUpUnits(waiting.front().request.units) };
}

} // namespace

auto EntryQueue::setLimits(std::uint32_t perOrganisation, std::uint32_t total) -> void
{
    maxPerOrganisation_ = perOrganisation;
    maxTotal_ = total;
}

auto EntryQueue::push(const QueuedRequest& request) -> PushResult
{
    const auto found = queues_.find(request.organisation);
    const auto own = found == queues_.end() ? 0 : found->second.size();
    if (own >= maxPerOrganisation_)
        return PushResult { Refusal::OrganisationFull, {} };

    auto dropped = std::optional<RequestId> {};
    if (positions_.size() >= maxTotal_) {
        // With the new request this organisation's queue would be as long as the longest one: the new request
        // is refused instead of dropping another organisation's.
        if (lengths_.empty() || lengths_.rbegin()->first <= own + 1)
            return PushResult { Refusal::TotalFull, {} };
        dropped = dropNewest(lengths_.rbegin()->second);
    }

    auto& queue = queues_[request.organisation];
    const auto classIndex = classIndexOf(request.requestClass);
    queue.classQueues[classIndex].push_back(Waiting { request, ++arrivals_ });
    positions_[request.request] = std::prev(queue.classQueues[classIndex].end());
    updateLength(request.organisation, own, own + 1);
    markChanged(Key { request.organisation, classIndex }, queue);
    return PushResult { {}, dropped };
}

auto EntryQueue::pop(OrganisationId organisation, RequestClass requestClass) -> std::optional<RequestId>
{
    const auto found = queues_.find(organisation);
    if (found == queues_.end())
        return std::nullopt;
    auto& classQueue = found->second.classQueues[classIndexOf(requestClass)];
    if (classQueue.empty())
        return std::nullopt;
    return erase(classQueue.begin());
}

auto EntryQueue::remove(RequestId request) -> bool
{
    const auto found = positions_.find(request);
    if (found == positions_.end())
        return false;
    erase(found->second);
    return true;
}

auto EntryQueue::size() const -> std::size_t { return positions_.size(); }

auto EntryQueue::empty() const -> bool { return positions_.empty(); }

auto EntryQueue::waiting(OrganisationId organisation, RequestClass requestClass) const -> std::size_t
{
    const auto found = queues_.find(organisation);
    return found == queues_.end() ? 0
                                  : found->second.classQueues[static_cast<std::size_t>(requestClass)].size();
}

auto EntryQueue::takeChanges() -> std::vector<DemandEntry>
{
    auto entries = std::vector<DemandEntry> {};
    entries.reserve(changes_.size());
    for (const auto& [organisation, classIndex] : changes_) {
        const auto found = queues_.find(organisation);
        entries.push_back(entryOf(organisation, classIndex, found->second.classQueues[classIndex]));
        found->second.changed[classIndex] = false;
        if (found->second.isErasable())
            queues_.erase(found);
    }
    changes_.clear();
    return entries;
}

auto EntryQueue::waitingEntries() const -> std::vector<DemandEntry>
{
    auto entries = std::vector<DemandEntry> {};
    for (const auto& [organisation, queue] : queues_) {
        for (auto classIndex = std::size_t { 0 }; classIndex < kClasses; ++classIndex) {
            if (!queue.classQueues[classIndex].empty())
                entries.push_back(entryOf(organisation, classIndex, queue.classQueues[classIndex]));
        }
    }
    std::ranges::sort(entries, [](const DemandEntry& left, const DemandEntry& right) {
        return std::tie(left.organisation, left.requestClass)
            < std::tie(right.organisation, right.requestClass);
    });
    return entries;
}

auto EntryQueue::dropNewest(OrganisationId organisation) -> RequestId
{
    auto& classQueues = queues_.at(organisation).classQueues;
    const auto newest
        = [](const ClassQueue& classQueue) { return classQueue.empty() ? 0 : classQueue.back().arrival; };
    auto& classQueue = newest(classQueues[0]) > newest(classQueues[1]) ? classQueues[0] : classQueues[1];
    return erase(std::prev(classQueue.end()));
}

auto EntryQueue::erase(ClassQueue::iterator position) -> RequestId
{
    const auto [request, organisation, requestClass, units, deadline] = position->request;
    auto& queue = queues_.at(organisation);
    const auto before = queue.size();
    const auto classIndex = classIndexOf(requestClass);
    queue.classQueues[classIndex].erase(position);
    positions_.erase(request);
    updateLength(organisation, before, before - 1);
    markChanged(Key { organisation, classIndex }, queue);
    return request;
}

auto EntryQueue::updateLength(OrganisationId organisation, std::size_t before, std::size_t after) -> void
{
    lengths_.erase({ before, organisation });
    if (after > 0)
        lengths_.emplace(after, organisation);
}

auto EntryQueue::markChanged(const Key& key, OrganisationQueue& queue) -> void
{
    if (queue.changed[key.classIndex])
        return;
    queue.changed[key.classIndex] = true;
    changes_.push_back(key);
}

} // namespace camphorshunt
