#include "peertable.h"

#include <algorithm>
#include <utility>

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

/** A peer that is silent for this long holds no role: three heartbeats and an allowance for the network. */
constexpr auto silenceLimit = Duration(420ms);
/** A router lost for longer is not expected to return, and no part of the engines is reserved for it. */
constexpr auto recentWindow = Duration(10s);

} // namespace

auto PeerTable::connected(Time now, RouterId router, const PeerHello& hello) -> void
{
    auto& peer = peers_[router];
    peer.processorShare = hello.processorShare;
    peer.lastSeenAt = now;
    peer.isLive = true;
    peer.heartbeat = {};
    peer.heartbeat.storeReachable = true;
}

auto PeerTable::updateLastSeen(Time now, RouterId router, const std::optional<PeerHeartbeat>& heartbeat)
    -> bool
{
    auto& peer = peers_[router];
    peer.lastSeenAt = now;
    auto changed = !std::exchange(peer.isLive, true);
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
        if (!peer.isLive || now - peer.lastSeenAt < silenceLimit)
            continue;
        peer.isLive = false;
        change.silent.emplace_back(router, now - peer.lastSeenAt);
    }
    change.removed = std::erase_if(peers_, [now](const auto& entry) {
        return !entry.second.isLive && now - entry.second.lastSeenAt > recentWindow;
    }) > 0;
    return change;
}

auto PeerTable::live() const -> std::vector<LiveRouter>
{
    auto live = std::vector<LiveRouter> {};
    for (const auto& [router, peer] : peers_) {
        if (peer.isLive && !peer.heartbeat.leaving)
            live.push_back({ router, peer.processorShare });
    }
    return live;
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
