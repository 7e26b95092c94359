#include "peertable.h"

#include <algorithm>
#include <utility>

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

/** A router lost for longer is not expected to return, and no part of the engines is reserved for it. */
constexpr auto recentWindow = Duration(10s);

} // namespace

auto PeerTable::connected(Time now, RouterId router, const PeerHello& hello) -> void
{
    auto& peer = peers_[router];
    if (std::exchange(peer.incarnation, hello.incarnation) != hello.incarnation)
        peer.isSteady = true;
    peer.processorShare = hello.processorShare;
    peer.failureDomain = hello.failureDomain;
    peer.interval = frequentInterval;
    peer.fleetSize = 0;
    peer.dependsOnThis = false;
    peer.isOldBuild = hello.isFromOldBuild();
    peer.isDependency = false;
    peer.isProbed = false;
    peer.nextHeartbeat = now;
    peer.clock = 0;
    peer.lastSeenAt = now;
    peer.liveSince = now;
    peer.isLive = true;
    peer.isConnected = true;
    peer.heartbeat = {};
    peer.heartbeat.storeReachable = true;
}

auto PeerTable::lost(RouterId router) -> void
{
    auto& peer = peers_[router];
    peer.isLive = false;
    peer.isConnected = false;
}

auto PeerTable::updateLastSeen(Time now, RouterId router, const std::optional<PeerHeartbeat>& heartbeat)
    -> bool
{
    auto& peer = peers_[router];
    peer.lastSeenAt = now;
    peer.isProbed = false;
    const auto returned = !std::exchange(peer.isLive, true);
    if (returned)
        peer.liveSince = now;
    auto changed = returned;
    if (heartbeat) {
        changed = changed || heartbeat->leaving != peer.heartbeat.leaving
            || heartbeat->storeReachable != peer.heartbeat.storeReachable;
        peer.heartbeat = *heartbeat;
    }
    return changed;
}

auto PeerTable::updatePresence(RouterId router, const PeerPresence& presence) -> void
{
    auto& peer = peers_[router];
    peer.interval = std::clamp(Duration(presence.interval), frequentInterval, 2 * rareInterval);
    peer.fleetSize = presence.routers;
    const auto beginsToDepend = presence.dependsOnReceiver && !peer.dependsOnThis;
    peer.dependsOnThis = presence.dependsOnReceiver;
    // It counts this router as silent unless frequent heartbeats begin at once.
    if (beginsToDepend)
        peer.nextHeartbeat = {};
}

auto PeerTable::updateClock(Time now, RouterId router, const PeerClock& clock) -> std::optional<Time>
{
    auto& peer = peers_[router];
    peer.clock = clock.sent;
    peer.clockReceivedAt = now;
    const auto sinceStart = static_cast<std::uint64_t>(now.time_since_epoch().count());
    if (clock.echoed == 0 || clock.echoed > sinceStart)
        return std::nullopt;
    return std::min(now, Time { Duration(clock.echoed) } + clock.held);
}

auto PeerTable::clockFor(Time now, RouterId router) const -> PeerClock
{
    auto clock = PeerClock { static_cast<std::uint64_t>(now.time_since_epoch().count()), 0, {} };
    const auto peer = peers_.find(router);
    if (peer != peers_.end() && peer->second.clock != 0) {
        clock.echoed = peer->second.clock;
        clock.held = now - peer->second.clockReceivedAt;
    }
    return clock;
}

auto PeerTable::setDependencies(Time now, const std::set<RouterId>& routers) -> std::vector<RouterId>
{
    auto changed = std::vector<RouterId> {};
    for (auto& [router, peer] : peers_) {
        const auto isNeeded = peer.isLive && routers.contains(router);
        if (std::exchange(peer.isDependency, isNeeded) == isNeeded)
            continue;
        // Its frequent heartbeats begin once it has been told.
        if (isNeeded && peer.interval > frequentInterval && !peer.isProbed)
            peer.lastSeenAt = now;
        changed.push_back(router);
    }
    return changed;
}

auto PeerTable::needsHeartbeats(RouterId router) const -> bool
{
    const auto peer = peers_.find(router);
    return peer != peers_.end() && (peer->second.isDependency || peer->second.isProbed);
}

auto PeerTable::probeCandidates(Time now, const HubRegistry& hubs) -> std::vector<RouterId>
{
    auto probed = std::vector<RouterId> {};
    for (const auto router : hubs.candidates()) {
        const auto found = peers_.find(router);
        if (found == peers_.end())
            continue;
        auto& peer = found->second;
        const auto isFrequent = peer.isDependency || peer.isProbed || peer.interval <= frequentInterval;
        if (!peer.isLive || isFrequent || now - peer.lastSeenAt < frequentInterval)
            continue;
        peer.isProbed = true;
        peer.lastSeenAt = now;
        probed.push_back(router);
    }
    return probed;
}

auto PeerTable::takeDueHeartbeats(Time now, const HubRegistry& hubs, RouterId self)
    -> std::vector<std::pair<RouterId, Duration>>
{
    const auto selfIsHub = hubs.isHub(self);
    auto due = std::vector<std::pair<RouterId, Duration>> {};
    for (auto& [router, peer] : peers_) {
        if (now < peer.nextHeartbeat)
            continue;
        peer.wasHub = peer.wasHub || hubs.isHub(router);
        const auto isFrequent = peer.dependsOnThis || peer.isOldBuild || (selfIsHub && hubs.isHub(router));
        const auto interval = isFrequent ? frequentInterval : rareInterval;
        peer.nextHeartbeat = now + interval;
        due.emplace_back(router, interval);
    }
    return due;
}

auto PeerTable::hastenHeartbeats() -> void
{
    for (auto& [router, peer] : peers_)
        peer.nextHeartbeat = {};
}

auto PeerTable::updateTargets(const HubRegistry& hubs, bool withHubs) const -> std::vector<RouterId>
{
    auto targets = std::vector<RouterId> {};
    for (const auto& [router, peer] : peers_) {
        if (hubs.isHub(router) || peer.isOldBuild ? withHubs : peer.dependsOnThis)
            targets.push_back(router);
    }
    return targets;
}

auto PeerTable::connectedRouters() const -> std::vector<RouterId>
{
    auto routers = std::vector<RouterId> {};
    for (const auto& [router, peer] : peers_) {
        if (peer.isLive)
            routers.push_back(router);
    }
    return routers;
}

auto PeerTable::forget(RouterId router) -> void
{
    const auto peer = peers_.find(router);
    if (peer != peers_.end() && !peer->second.isLive)
        peers_.erase(peer);
}

auto PeerTable::silenceLimitOfPeer(const Peer& peer) -> Duration
{
    if (peer.isProbed)
        return probeLimit;
    return 3 * peer.expectedInterval() + silenceAllowance;
}

auto PeerTable::resetSilence(Time now) -> void
{
    for (auto& [router, peer] : peers_)
        peer.lastSeenAt = now;
}

auto PeerTable::checkSilence(Time now) -> Change
{
    auto change = Change {};
    for (auto& [router, peer] : peers_) {
        if (!peer.isLive)
            continue;
        if (now - peer.lastSeenAt >= silenceLimitOfPeer(peer)) {
            peer.isLive = false;
            peer.isSteady = false;
            peer.isProbed = false;
            change.dependencyLost = change.dependencyLost || peer.isDependency;
            change.silent.emplace_back(router, now - peer.lastSeenAt);
        } else if (!peer.isSteady && now - peer.liveSince >= rejoinTime) {
            peer.isSteady = true;
            change.others = true;
        }
    }
    const auto removed = std::erase_if(peers_, [now](const auto& entry) {
        const auto& peer = entry.second;
        return !peer.isConnected && !peer.isLive && now - peer.lastSeenAt > recentWindow;
    });
    change.others = change.others || removed > 0;
    return change;
}

auto PeerTable::live(const HubRegistry& hubs) const -> std::vector<LiveRouter>
{
    auto live = std::vector<LiveRouter> {};
    auto steady = std::vector<LiveRouter> {};
    for (const auto router : hubs.hubs()) {
        const auto found = peers_.find(router);
        if (found == peers_.end() || !takesPart(found->second))
            continue;
        const auto& peer = found->second;
        live.push_back({ router, peer.processorShare, peer.failureDomain });
        if (peer.isSteady)
            steady.push_back(live.back());
    }
    return steady.size() * 2 < live.size() ? live : steady;
}

auto PeerTable::liveCount() const -> std::size_t
{
    const auto count
        = std::ranges::count_if(peers_, [](const auto& entry) { return takesPart(entry.second); });
    return static_cast<std::size_t>(count);
}

auto PeerTable::fleetSize() const -> std::size_t
{
    auto size = liveCount() + 1;
    for (const auto& [router, peer] : peers_) {
        if (takesPart(peer))
            size = std::max(size, peer.fleetSize);
    }
    return size;
}

auto PeerTable::reachesStore(RouterId router) const -> bool
{
    const auto peer = peers_.find(router);
    return peer != peers_.end() && peer->second.heartbeat.storeReachable;
}

auto PeerTable::liveHubs(const HubRegistry& hubs) const -> std::size_t
{
    const auto count = std::ranges::count_if(hubs.hubs(), [this](RouterId router) {
        const auto peer = peers_.find(router);
        return peer != peers_.end() && takesPart(peer->second);
    });
    return static_cast<std::size_t>(count);
}

auto PeerTable::missingHubs(Time now) const -> std::size_t
{
    const auto missing = std::ranges::count_if(peers_, [now](const auto& entry) {
        const auto& peer = entry.second;
        return peer.wasHub && !takesPart(peer) && now - peer.lastSeenAt < recentWindow;
    });
    return static_cast<std::size_t>(missing);
}

} // namespace camphorshunt::router
