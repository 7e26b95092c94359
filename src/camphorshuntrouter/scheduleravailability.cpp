#include "scheduler.h"

#include <algorithm>
#include <iterator>

#include "clock.h"

// How the routers learn which engines leave.

namespace camphorshunt::router {

auto Scheduler::newlyLeaving(Time now, std::span<const PeerAvailability> reports)
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

auto Scheduler::handle(const PeerAvailability& availability) -> void
{
    const auto now = steadyNow();
    placement_->reportAvailability(now, availability);
    auto frame = PeerFrame {};
    frame.availability = newlyLeaving(now, { &availability, 1 });
    if (!frame.availability.empty())
        sendUpdate(frame, true);
}

auto Scheduler::leavingArrived(Time now, RouterId peer, std::span<const PeerAvailability> reports) -> void
{
    auto frame = PeerFrame {};
    frame.availability = newlyLeaving(now, reports);
    if (frame.availability.empty())
        return;
    for (const auto& report : frame.availability)
        rings_.toRelay.push(UpstreamLeaves { report.process });
    // A hub tells all hubs itself; other routers may be connected to some of them only.
    sendUpdate(frame, !mesh_->hubs().isHub(peer));
}

} // namespace camphorshunt::router
