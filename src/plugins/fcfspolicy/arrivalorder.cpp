#include "arrivalorder.h"

#include <algorithm>

namespace camphorshunt {

auto ArrivalOrder::setWaiting(const DemandKey& key, std::uint32_t waiting, std::uint32_t headUnits) -> void
{
    auto& known = waiting_[key];
    countOrganisation(key, known.count, waiting);
    known.count = waiting;
    if (waiting > known.inLine) {
        auto& line = lines_[key.requestClass == RequestClass::Interactive ? 0 : 1];
        line.push_back(Arrivals { key, waiting - known.inLine, ++arrivals_ });
        known.inLine = waiting;
    }
    if (known.inLine == 0)
        waiting_.erase(key);
}

auto ArrivalOrder::choose(bool deferrableAllowed) -> std::optional<DemandKey>
{
    for (auto& line : lines_)
        dropStale(line);
    auto& [interactive, deferrable] = lines_;
    const auto useDeferrable = deferrableAllowed && !deferrable.empty()
        && (interactive.empty() || deferrable.front().order < interactive.front().order);
    auto& line = useDeferrable ? deferrable : interactive;
    if (line.empty())
        return std::nullopt;

    const auto key = line.front().key;
    auto& known = waiting_.at(key);
    countOrganisation(key, known.count, known.count - 1);
    --known.count;
    --known.inLine;
    if (known.inLine == 0)
        waiting_.erase(key);
    if (--line.front().count == 0)
        line.pop_front();
    return key;
}

auto ArrivalOrder::dropStale(Line& line) -> void
{
    while (!line.empty()) {
        auto& front = line.front();
        const auto found = waiting_.find(front.key);
        auto& known = found->second;
        const auto stale = std::min(front.count, known.inLine - known.count);
        front.count -= stale;
        known.inLine -= stale;
        if (known.inLine == 0)
            waiting_.erase(found);
        if (front.count > 0)
            return;
        line.pop_front();
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
