#include "placementcoordinator.h"

#include <algorithm>

// Prompt parts under which engines crash, as routers tell each other.

namespace camphorshunt::router {

auto toldAt(Time now, ServiceId service, const QuarantinedPart& part) -> PeerQuarantine
{
    const auto left = std::max(part.until - now, Duration {});
    return { service, part.part, std::chrono::ceil<std::chrono::milliseconds>(left),
        std::chrono::ceil<std::chrono::milliseconds>(part.length), part.released };
}

auto PlacementCoordinator::applyQuarantine(Time now, const PeerQuarantine& told) -> bool
{
    const auto found = services_.find(told.service);
    return found != services_.end()
        && found->second.placer->applyQuarantine({ told.part, now + told.left, told.length, told.released });
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
