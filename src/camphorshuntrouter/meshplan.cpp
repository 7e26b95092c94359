#include "meshplan.h"

#include <algorithm>
#include <utility>

#include "camphorshunt/endpoint.h"

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

constexpr auto minBackoff = Duration(100ms);
constexpr auto maxBackoff = Duration(2s);
constexpr auto dialTimeout = Duration(1s);
/** Addresses unreachable for this long are removed; a router that returns there dials the others. */
constexpr auto removePeerAfter = Duration(60s);
/** A connection is kept for this long after neither end is a hub. */
constexpr auto surplusTime = Duration(10s);

} // namespace

MeshPlan::MeshPlan(PeerHello hello)
    : hello_(std::move(hello))
    , self_(idOf<RouterId>(hello_.endpoint))
    , hubs_({ hello_.endpoint, hello_.processorShare, hello_.failureDomain })
    , random_(static_cast<std::minstd_rand::result_type>(hello_.incarnation ^ self_.value))
{
}

auto MeshPlan::addPeer(const RouterAddress& address) -> void
{
    if (!hubs_.knows(idOf<RouterId>(address.endpoint)) && !Endpoint::parse(address.endpoint, "peer"))
        return;
    hubs_.learn(address);
}

auto MeshPlan::setResponsive(Time now, RouterId router, bool responsive) -> void
{
    hubs_.setReachable(now, router, responsive);
}

auto MeshPlan::takeDue(Time now) -> Due
{
    hubs_.removeUnreachable(now, removePeerAfter);
    std::erase_if(peers_, [this](const auto& entry) {
        const auto& peer = entry.second;
        return !peer.isConnected && !peer.isDialling && !hubs_.knows(entry.first);
    });
    auto due = Due {};
    // A failed dial changes the targets.
    const auto targets = hubs_.dialTargets();
    for (const auto router : targets) {
        auto& peer = peers_[router];
        if (peer.isConnected || now < peer.nextDial)
            continue;
        if (std::exchange(peer.isDialling, true)) {
            due.expired.push_back(router);
            hubs_.setReachable(now, router, false);
        }
        peer.backoff = std::clamp(peer.backoff * 2, minBackoff, maxBackoff);
        peer.nextDial = now + dialTimeout;
        due.dials.push_back(router);
    }
    due.surplus = takeSurplus(now);
    return due;
}

auto MeshPlan::takeSurplus(Time now) -> std::vector<RouterId>
{
    auto surplus = std::vector<RouterId> {};
    const auto selfIsHub = hubs_.isHub(self_);
    for (auto& [router, peer] : peers_) {
        if (!peer.isConnected || !peer.dialled)
            continue;
        if (selfIsHub || hubs_.isHub(router) || peer.neededAt == Time {})
            peer.neededAt = now;
        if (now - peer.neededAt <= surplusTime)
            continue;
        peer.isConnected = false;
        hubs_.setConnected(router, false);
        surplus.push_back(router);
    }
    return surplus;
}

auto MeshPlan::admit(Time now, const PeerHello& hello, bool dialled) -> Admission
{
    const auto router = idOf<RouterId>(hello.endpoint);
    if (router == self_)
        return Admission::Rejected;
    hubs_.learn({ hello.endpoint, hello.processorShare, hello.failureDomain });
    auto& peer = peers_[router];
    if (dialled)
        peer.isDialling = false;
    // Both routers dialled: both ends keep the connection dialled by the smaller address.
    const auto keepDialled = hello_.endpoint < hello.endpoint;
    const auto isSecond = peer.isConnected && peer.dialled != dialled;
    if (isSecond && dialled != keepDialled)
        return Admission::Rejected;
    const auto replaces = std::exchange(peer.isConnected, true);
    peer.dialled = dialled;
    peer.backoff = minBackoff;
    peer.neededAt = {};
    hubs_.setConnected(router, true);
    hubs_.setReachable(now, router, true);
    return replaces ? Admission::Replaces : Admission::Accepted;
}

auto MeshPlan::dialFailed(Time now, RouterId router) -> void
{
    auto& peer = peers_[router];
    peer.isDialling = false;
    redialAfter(now, peer);
    // The other router may have dialled, too, and this dial be the one that is not needed.
    if (!peer.isConnected)
        hubs_.setReachable(now, router, false);
}

auto MeshPlan::disconnected(Time now, RouterId router) -> void
{
    auto& peer = peers_[router];
    peer.isConnected = false;
    redialAfter(now, peer);
    hubs_.setReachable(now, router, false);
    hubs_.setConnected(router, false);
}

auto MeshPlan::redialAfter(Time now, Peer& peer) -> void
{
    // Jittered, so that the routers of a fleet do not dial a router that returned all at once.
    auto jitter = std::uniform_real_distribution<double>(0.5, 1.5);
    peer.nextDial = now + scaled(peer.backoff, jitter(random_));
}

auto MeshPlan::candidates() const -> std::vector<RouterAddress>
{
    auto addresses = std::vector<RouterAddress> {};
    for (const auto router : hubs_.candidates())
        addresses.push_back(hubs_.address(router));
    return addresses;
}

auto MeshPlan::takeNewCandidates() -> std::vector<RouterAddress>
{
    auto added = std::vector<RouterAddress> {};
    for (const auto router : hubs_.candidates()) {
        if (announced_.insert(router).second)
            added.push_back(hubs_.address(router));
    }
    std::erase_if(announced_, [this](RouterId router) { return !hubs_.knows(router); });
    return added;
}

} // namespace camphorshunt::router
