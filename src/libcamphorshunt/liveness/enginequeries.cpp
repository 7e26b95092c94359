#include "liveness/enginequeries.h"

#include <algorithm>
#include <chrono>

namespace camphorshunt {

auto EngineQueries::request(Time now, const UpstreamProcess& engine) -> void
{
    const auto found = asked_.find(engine.upstream);
    if (found != asked_.end() && found->second == engine)
        return;
    const auto isRecent = [now](const auto& item) { return now - item.first < std::chrono::seconds(1); };
    const auto first = std::ranges::find_if(askedAt_, isRecent);
    if (static_cast<std::size_t>(askedAt_.end() - first) >= maxPerSecond)
        return;
    asked_.insert_or_assign(engine.upstream, engine);
    askedAt_.emplace_back(now, engine);
    due_.push_back(engine);
}

auto EngineQueries::clear() -> void
{
    asked_.clear();
    askedAt_.clear();
    due_.clear();
}

auto EngineQueries::takeUndecided(Time now) -> std::vector<UpstreamProcess>
{
    auto undecided = std::vector<UpstreamProcess> {};
    for (; !askedAt_.empty() && now - askedAt_.front().first >= undecidedTime; askedAt_.pop_front()) {
        const auto& engine = askedAt_.front().second;
        const auto found = asked_.find(engine.upstream);
        if (found == asked_.end() || found->second != engine)
            continue;
        undecided.push_back(engine);
        asked_.erase(found);
    }
    return undecided;
}

} // namespace camphorshunt
