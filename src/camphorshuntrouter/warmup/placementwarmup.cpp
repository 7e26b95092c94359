#include "placementcoordinator.h"

namespace camphorshunt::router {

auto PlacementCoordinator::warmupReport(Time now) const -> Placer::WarmupReport
{
    auto total = Placer::WarmupReport {};
    for (const auto& [id, service] : services_) {
        if (service.owner != self_)
            continue;
        const auto report = service.placer->warmupReport(now);
        total.engines += report.engines;
        total.admitted += report.admitted;
    }
    return total;
}

} // namespace camphorshunt::router
