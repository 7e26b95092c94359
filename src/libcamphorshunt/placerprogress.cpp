#include "placer.h"

#include <utility>

// What happens to requests once they have been placed.

namespace camphorshunt {

auto Placer::adoptRequest(Time now, const RunningRequest& running) -> void
{
    const auto engine = engines_.find(running.upstream);
    const auto& request = running.request;
    if (engine == engines_.end() || placed_.contains(request.key))
        return;
    engine->second.adoptRequest(
        now, request.key, request.prompt, PromptCache::chainsOf(request.prompt.parts), running.started);
    checkTimes_.hasten(running.upstream, engine->second.overdueAt());
    const auto cost = costOf(request.prompt);
    placed_[request.key] = { running.upstream, request.organisation, cost, now, running.started };
    reach_[request.key.router].pending += running.started ? 0 : 1;
    quarantine_.recordPlaced(now, request.key, request.prompt.parts);
    if (running.started)
        quarantine_.recordStarted(now, request.key, engine->second.entry().process());
    // What has begun was service of the time before; only what begins now counts against what waits now.
    if (!running.started)
        queues_.charge(now, request.organisation, cost);
}

auto Placer::onStarted(Time now, const PlacementKey& key) -> void
{
    const auto found = placed_.find(key);
    if (found == placed_.end())
        return;
    auto& placed = found->second;
    reach_[key.router].rate.record(now, true);
    auto& engine = engines_.at(placed.upstream);
    engine.onStarted(now, key);
    checkTimes_.hasten(placed.upstream, engine.overdueAt());
    endPending(key, placed);
    quarantine_.recordStarted(now, key, engine.entry().process());
    if (!std::exchange(placed.begun, true))
        shares_.recordBegun(placed.organisation, placed.cost);
}

auto Placer::onEnded(Time now, const PlacementKey& key, PlacementEnd end) -> void
{
    const auto found = placed_.find(key);
    if (found == placed_.end())
        return;
    const auto placed = found->second;
    const auto isEngineAtFault = recordEnd(now, key.router, end);
    auto& engine = engines_.at(placed.upstream);
    engine.onEnded(now, key, end, isEngineAtFault);
    checkTimes_.hasten(placed.upstream, engine.overdueAt());
    endPending(key, placed);
    quarantine_.recordEnded(now, key, end, engine.entry().process());
    placed_.erase(found);
    if (!placed.begun && isWithoutService(now, key.router, engine, end))
        queues_.refund(placed.placedAt, placed.organisation, placed.cost);
}

auto Placer::recordEnd(Time now, RouterId router, PlacementEnd end) -> bool
{
    if (end != PlacementEnd::Unreachable && end != PlacementEnd::Silent)
        return true;
    auto& rate = reach_[router].rate;
    rate.record(now, false);
    return !rate.isFailing(now);
}

auto Placer::checkOverdue(Time now) -> void
{
    for (const auto id : checkTimes_.takeDue(now)) {
        if (const auto found = engines_.find(id); found != engines_.end()) {
            checkEngine(now, found->second);
            checkTimes_.hasten(id, found->second.overdueAt());
        }
    }
}

auto Placer::checkEngine(Time now, EngineModel& engine) -> void
{
    const auto overdue = engine.overdueRequest(now);
    if (!overdue)
        return;
    auto& rate = reach_[overdue->router].rate;
    rate.record(now, false);
    if (rate.isFailing(now) || engine.startsOthers())
        engine.postpone(now, *overdue);
    else
        engine.suspendOverdue(now);
}

auto Placer::removeRouter(Time now, RouterId router) -> void
{
    for (auto& [id, engine] : engines_) {
        engine.removeRouter(now, router);
        checkTimes_.hasten(id, engine.overdueAt());
    }
    absl::erase_if(placed_, [this, router](const auto& placed) {
        if (placed.first.router != router)
            return false;
        quarantine_.forget(placed.first);
        return true;
    });
    reach_.erase(router);
    rests_.erase(router);
    queues_.removeIf(
        [router](const WaitingRequest& waiting) { return waiting.request.key.router == router; });
}

} // namespace camphorshunt
