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
    peer.lastSeenAt = now;
    peer.liveSince = now;
    peer.isLive = true;
    peer.heartbeat = {};
    peer.heartbeat.storeReachable = true;
}

auto PeerTable::updateLastSeen(Time now, RouterId router, const std::optional<PeerHeartbeat>& heartbeat)
    -> bool
{
    auto& peer = peers_[router];
    peer.lastSeenAt = now;
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
        if (now - peer.lastSeenAt >= silenceLimit) {
            peer.isLive = false;
            peer.isSteady = false;
            change.silent.emplace_back(router, now - peer.lastSeenAt);
        } else if (!peer.isSteady && now - peer.liveSince >= rejoinTime) {
            peer.isSteady = true;
            change.others = true;
        }
    }
    const auto removed = std::erase_if(peers_, [now](const auto& entry) {
        return !entry.second.isLive && now - entry.second.lastSeenAt > recentWindow;
    });
    change.others = change.others || removed > 0;
    return change;
}

auto PeerTable::live() const -> std::vector<LiveRouter>
{
    auto live = std::vector<LiveRouter> {};
    auto steady = std::vector<LiveRouter> {};
    for (const auto& [router, peer] : peers_) {
        if (!takesPart(peer))
            continue;
        live.push_back({ router, peer.processorShare });
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

auto PeerTable::reachesStore(RouterId router) const -> bool
{
    const auto peer = peers_.find(router);
    return peer != peers_.end() && peer->second.heartbeat.storeReachable;
}

auto PeerTable::recentCount(Time now) const -> std::size_t
{
    const auto recent = std::ranges::count_if(
        peers_, [now](const auto& peer) { return now - peer.second.lastSeenAt < recentWindow; });
    return static_cast<std::size_t>(recent);
}

} // namespace camphorshunt::router
