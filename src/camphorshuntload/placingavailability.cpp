#include "placingrun.h"

#include <algorithm>

// Engines that leave or rest in a simulation.

namespace camphorshunt::load {

auto PlacingRun::beginRelease(const PlannedFailure& failure) -> void
{
    const auto count = std::min(failure.engines, engines_.size());
    for (auto index = std::size_t { 0 }; index < count; ++index) {
        const auto leaves = now_ + failure.length * index / count;
        schedule(leaves, [this, index] { engines_[index].leaving = true; });
        schedule(leaves + plan_.listingDelay, [this, index] {
            engines_[index].entry.draining = true;
            publishEntries();
        });
        schedule(leaves + plan_.listingDelay + plan_.drainTime, [this, index] { replaceEngine(index); });
    }
}

auto PlacingRun::replaceEngine(std::size_t index) -> void
{
    auto& engine = engines_[index];
    for (const auto& key : engine.simulated.crash()) {
        outcome_.recordSentInVain();
        handleEngineFailure(key, PlacementEnd::Broken);
    }
    engine.leaving = false;
    engine.entry.draining = false;
    engine.entry.name = "engine-" + std::to_string(index) + "-" + std::to_string(++replaced_);
    engineIndex_[engine.entry.id()] = index;
    publishEntries();
}

auto PlacingRun::publishEntries() -> void
{
    for (auto index = std::size_t { 0 }; index < placers_.size(); ++index) {
        if (placers_[index])
            placers_[index]->setUpstreams(now_, entriesOf(index));
    }
}

auto PlacingRun::notifyPlacers(std::size_t router, const std::function<void(Placer&, Time)>& action) -> void
{
    for (auto index = std::size_t { 0 }; index < placers_.size(); ++index) {
        schedule(now_ + hopTime(router, index), [this, index, action] {
            if (placers_[index])
                action(*placers_[index], now_);
        });
    }
}

auto PlacingRun::heedAnswer(std::size_t router, std::size_t index) -> void
{
    if (!plan_.heedsAnswers)
        return;
    const auto& engine = engines_[index];
    const auto id = engine.entry.id();
    if (engine.leaving && availability_[router].recordLeaving(now_, engine.entry.process()))
        notifyPlacers(router, [id](Placer& placer, Time now) { placer.recordLeaving(now, id); });
    const auto until = engine.restsUntil;
    if (now_ < until && availability_[router].recordRest(now_, engine.entry.process(), until)) {
        notifyPlacers(router, [id, router, until](Placer& placer, Time now) {
            placer.recordRest(now, id, RouterId { router + 1 }, until);
        });
    }
}

auto PlacingRun::maySend(const LiveRequest& live) const -> bool
{
    return availability_[live.request.router].maySend(now_, engines_[*live.engine].entry);
}

} // namespace camphorshunt::load
