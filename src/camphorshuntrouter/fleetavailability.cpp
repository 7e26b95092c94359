#include "fleetcontrol.h"

#include <algorithm>
#include <iterator>

// How the routers learn which engines leave.

namespace camphorshunt::router {

auto FleetControl::newlyLeaving(Time now, std::span<const PeerAvailability> reports)
    -> std::vector<PeerAvailability>
{
    auto fresh = std::vector<PeerAvailability> {};
    std::ranges::copy_if(reports, std::back_inserter(fresh), [this, now](const PeerAvailability& report) {
        return report.leaving && leaving_.recordLeaving(now, report.process);
    });
    // A rest concerns only the router that the engine has told.
    for (auto& report : fresh)
        report.rest = {};
    return fresh;
}

auto FleetControl::handle(Time now, const PeerAvailability& availability) -> void
{
    placement_.reportAvailability(now, availability);
    auto frame = PeerFrame {};
    frame.availability = newlyLeaving(now, { &availability, 1 });
    if (!frame.availability.empty())
        sendUpdate(now, std::move(frame), true);
}

auto FleetControl::leavingArrived(Time now, RouterId peer, std::span<const PeerAvailability> reports) -> void
{
    auto frame = PeerFrame {};
    frame.availability = newlyLeaving(now, reports);
    if (frame.availability.empty())
        return;
    for (const auto& report : frame.availability)
        handlers_.tellRelay(UpstreamLeaves { report.process });
    // A hub tells all hubs itself; other routers may be connected to some of them only.
    sendUpdate(now, std::move(frame), !plan_.hubs().isHub(peer));
}

} // namespace camphorshunt::router
