#include "fleetdescription.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "clock.h"

namespace camphorshunt::router {

namespace {

auto ageOf(Time now, Time since) -> std::optional<std::chrono::milliseconds>
{
    return since == Time {} ? std::nullopt : std::optional(inMilliseconds(now - since));
}

auto describePeer(Time now, const PeerTable::Peer& peer) -> FleetReport::Link
{
    auto link = FleetReport::Link {};
    link.failureDomain = peer.failureDomain;
    link.isConnected = peer.isConnected;
    link.isResponsive = peer.isLive;
    link.lastHeard = ageOf(now, peer.lastSeenAt);
    link.interval = inMilliseconds(peer.expectedInterval());
    return link;
}

auto reportOrder(const FleetReport::Link& link)
{
    return std::tuple(!link.isHub, link.isResponsive, link.router);
}

} // namespace

auto describeLinks(Time now, const HubRegistry& hubs, const PeerTable& peers, FleetReport& report) -> void
{
    const auto hubSet = std::set<RouterId>(hubs.hubs().begin(), hubs.hubs().end());
    const auto add = [&](RouterId router, FleetReport::Link link) {
        link.router = router;
        link.isHub = hubSet.contains(router);
        if (hubs.knows(router)) {
            link.address = hubs.address(router).endpoint;
            link.failureDomain = hubs.address(router).failureDomain;
        }
        report.links.push_back(std::move(link));
    };
    for (const auto& [router, peer] : peers.peers())
        add(router, describePeer(now, peer));
    for (const auto router : hubs.dialTargets()) {
        if (!peers.peers().contains(router))
            add(router, {});
    }
    std::ranges::sort(report.links, {}, reportOrder);
    report.linksLeftOut = report.links.size() - std::min(report.links.size(), maxReportedLinks);
    const auto silent = std::ranges::count(report.links, false, &FleetReport::Link::isResponsive);
    report.silentLinks = static_cast<std::uint64_t>(silent);
    report.links.resize(report.links.size() - report.linksLeftOut);
}

auto describeFleet(Time now, const FleetSources& sources, FleetReport& report) -> void
{
    const auto& sync = sources.sync;
    const auto& fleet = sync.fleet();
    report.isHub = sources.hubs.isHub(report.router());
    report.reachesStore = sync.isStoreReachable();
    report.liveRouters = sources.peers.fleetSize();
    report.configurationVersion = fleet.version();
    report.configurationAge = ageOf(now, sync.configurationConfirmedAt());
    report.directoryOffset = fleet.directoryEnd().value_or(0);
    report.directoryAge = ageOf(now, sync.directoryReadAt());
    report.feed = sync.feed();
    for (const auto& [domain, since] : fleet.evacuations().domains())
        report.evacuations.push_back({ domain, inMilliseconds(now - since) });
    if (fleet.table()) {
        for (const auto& service : fleet.table()->configuration().services) {
            if (const auto placer = sources.placement.placerOfService(service.id()))
                report.placers.push_back({ service.name, *placer });
        }
    }
    describeLinks(now, sources.hubs, sources.peers, report);
}

} // namespace camphorshunt::router
