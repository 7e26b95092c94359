#include "placer.h"

// Limits what the placer gives to engines that are cold, or may be.

namespace camphorshunt {

namespace {

/** The length of the window for which the rate of a cold engine holds. */
constexpr auto rateWindow = Duration(std::chrono::seconds(1));

} // namespace

auto Placer::setWarmupLimits(EngineModel& engine) const -> void
{
    engine.warmup().setLimits(
        { traits_.coldRequestsPerSecond, settings_.coldOvershoot, settings_.coldSlack }, fraction_);
}

auto Placer::recordNewEngine(Time now, EngineModel& engine) const -> void
{
    setWarmupLimits(engine);
    engine.warmup().recordStatement(now, engine.entry().coldRemaining);
    engine.warmup().hold(coldHoldUntil_);
}

auto Placer::setPlacesService(Time now, bool places) -> void
{
    quarantine_.setPlaces(now, places);
    if (!places)
        return;
    coldHoldUntil_ = now + rateWindow;
    for (auto& [id, engine] : engines_)
        engine.warmup().hold(coldHoldUntil_);
}

auto Placer::warmupReport(Time now) const -> WarmupReport
{
    auto report = WarmupReport {};
    if (traits_.coldRequestsPerSecond <= 0)
        return report;
    for (const auto& [id, engine] : engines_) {
        if (!engine.warmup().isCold(now))
            continue;
        ++report.engines;
        report.admitted += engine.warmup().admittedLately(now);
    }
    return report;
}

} // namespace camphorshunt
