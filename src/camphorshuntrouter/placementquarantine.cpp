#include "placementcoordinator.h"

#include <algorithm>
#include <iterator>

// Prompt parts under which engines crash, as routers tell each other.

namespace camphorshunt::router {

namespace {

/** Crashes that are kept until the configuration names their service. */
constexpr auto maxEarlyCrashes = std::size_t { 128 };

} // namespace

auto toldAt(Time now, ServiceId service, const QuarantinedPart& part) -> PeerQuarantine
{
    const auto left = std::max(part.until - now, Duration {});
    return { service, part.part, std::chrono::ceil<std::chrono::milliseconds>(left),
        std::chrono::ceil<std::chrono::milliseconds>(part.length), part.released, part.with };
}

auto toldAt(Time now, ServiceId service, const CrashReport& report) -> PeerCrash
{
    const auto since = [now](Time at) { return std::chrono::ceil<std::chrono::milliseconds>(now - at); };
    return { service, report.engine, report.parts, since(report.placedAt), since(report.brokenAt),
        report.isDisproved, report.isProven };
}

auto PlacementCoordinator::applyCrash(Time now, const PeerCrash& told) -> void
{
    const auto report = CrashReport { told.process, told.parts, now - told.sincePlaced, now - told.sinceBreak,
        told.lives, told.ended };
    const auto found = services_.find(told.service);
    if (found != services_.end())
        found->second.placer->applyCrash(now, report);
    else if (earlyCrashes_.size() < maxEarlyCrashes)
        earlyCrashes_.emplace_back(told.service, report);
}

auto PlacementCoordinator::recordEngineQuery(
    Time now, const EngineQuery& query, const EngineQueryResult& result) -> EngineState
{
    const auto found = services_.find(query.service);
    return found == services_.end() ? EngineState::Unknown
                                    : found->second.placer->recordEngineQuery(now, query.engine, result);
}

auto PlacementCoordinator::applyEarlyCrashes(Time now) -> void
{
    std::erase_if(earlyCrashes_, [this, now](const auto& early) {
        const auto found = services_.find(early.first);
        if (found == services_.end())
            return false;
        found->second.placer->applyCrash(now, early.second);
        return true;
    });
}

auto PlacementCoordinator::crashesOf(Time now, ServiceId id, const Placer& placer) -> std::vector<PeerCrash>
{
    auto crashes = std::vector<PeerCrash> {};
    for (const auto& report : placer.crashReports())
        crashes.push_back(toldAt(now, id, report));
    return crashes;
}

auto PlacementCoordinator::crashes(Time now) const -> std::vector<PeerCrash>
{
    auto crashes = std::vector<PeerCrash> {};
    for (const auto& [id, service] : services_) {
        if (service.owner == self_)
            std::ranges::move(crashesOf(now, id, *service.placer), std::back_inserter(crashes));
    }
    return crashes;
}

auto PlacementCoordinator::handOverEvidence(Time now, ServiceId id, const Service& service) -> void
{
    auto& frame = outputs_.frames[service.owner];
    std::ranges::move(crashesOf(now, id, *service.placer), std::back_inserter(frame.crashes));
    for (const auto& part : service.placer->quarantinedParts())
        frame.quarantines.push_back(toldAt(now, id, part));
}

auto PlacementCoordinator::applyQuarantine(Time now, const PeerQuarantine& told) -> bool
{
    const auto found = services_.find(told.service);
    return found != services_.end()
        && found->second.placer->applyQuarantine(
            { told.part, now + told.left, told.length, told.released, told.with });
}

auto PlacementCoordinator::quarantines(Time now) const -> std::vector<PeerQuarantine>
{
    auto quarantines = std::vector<PeerQuarantine> {};
    for (const auto& [id, service] : services_) {
        if (service.owner != self_)
            continue;
        for (const auto& part : service.placer->quarantinedParts())
            quarantines.push_back(toldAt(now, id, part));
    }
    return quarantines;
}

} // namespace camphorshunt::router
