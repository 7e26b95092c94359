#include "camphorshunt/placement.h"

namespace camphorshunt {

auto refusalName(RefusalReason reason) -> std::string_view
{
    switch (reason) {
    case RefusalReason::OverShare:
        return "over-share";
    case RefusalReason::Waited:
        return "waited";
    case RefusalReason::NoUpstream:
        return "no-upstream";
    case RefusalReason::Quarantined:
        return "quarantined";
    }
    return "unknown";
}

auto placementEndName(PlacementEnd end) -> std::string_view
{
    switch (end) {
    case PlacementEnd::Finished:
        return "finished";
    case PlacementEnd::Cancelled:
        return "cancelled";
    case PlacementEnd::Full:
        return "full";
    case PlacementEnd::Misdirected:
        return "misdirected";
    case PlacementEnd::Unreachable:
        return "unreachable";
    case PlacementEnd::Broken:
        return "broken";
    case PlacementEnd::Silent:
        return "silent";
    case PlacementEnd::Failed:
        return "failed";
    }
    return "unknown";
}

} // namespace camphorshunt
