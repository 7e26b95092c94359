#include "duetimes.h"

#include <algorithm>
#include <utility>

namespace camphorshunt {

auto DueTimes::hasten(UpstreamId upstream, Time due) -> void
{
    if (due == Time::max())
        return;
    const auto [entry, added] = due_.try_emplace(upstream, due);
    if (!added) {
        if (entry->second <= due)
            return;
        order_.erase({ entry->second, upstream });
        entry->second = due;
    }
    order_.emplace(due, upstream);
}

auto DueTimes::takeDue(Time now) -> std::vector<UpstreamId>
{
    auto taken = std::vector<UpstreamId> {};
    while (!order_.empty() && order_.begin()->first <= now) {
        taken.push_back(order_.begin()->second);
        due_.erase(taken.back());
        order_.erase(order_.begin());
    }
    std::ranges::sort(taken);
    return taken;
}

} // namespace camphorshunt
