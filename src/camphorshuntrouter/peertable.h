#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

#include "peerframe.h"
#include "placementcoordinator.h"

namespace camphorshunt::router {

/** The other routers: when a frame of theirs was last received, and their last heartbeat. */
class PeerTable {
public:
    /** A router that was silent takes no role until it has been heard regularly for this long. */
    static constexpr auto rejoinTime = Duration(std::chrono::seconds(2));
    /** A peer that is silent for this long holds no role: three heartbeats and an allowance for the network.
     */
    static constexpr auto silenceLimit = Duration(std::chrono::milliseconds(420));

    struct Peer {
        double processorShare = 1;
        Time lastSeenAt {};
        PeerHeartbeat heartbeat;
        std::uint64_t incarnation = 0;
        bool isLive = false;
        /** False from a silence until the router has been heard without one for `rejoinTime`. */
        bool isSteady = true;
        Time liveSince {};
    };

    auto connected(Time now, RouterId router, const PeerHello& hello) -> void;
    auto lost(RouterId router) -> void { peers_[router].isLive = false; }
    /** Records a received frame. Returns true if this changes which routers may hold a role. */
    auto updateLastSeen(Time now, RouterId router, const std::optional<PeerHeartbeat>& heartbeat) -> bool;
    /**
     * Restarts the silence timeout of all peers. For use after a process pause, when the frames that they
     * sent meanwhile are still unread.
     */
    auto resetSilence(Time now) -> void;

    struct Change {
        /** Routers that exceeded the silence limit since the last check, and the length of their silence. */
        std::vector<std::pair<RouterId, Duration>> silent;
        /** Other peers take roles or count again, or no longer. */
        bool others = false;
    };
    /** Marks silent peers as not live, and removes those that were lost long ago. */
    auto checkSilence(Time now) -> Change;

    /**
     * Routers that may hold roles for the fleet: reachable, not leaving, and not silent a moment ago. If that
     * leaves less than half of the reachable ones, it was rather this router that was cut off, and all count.
     */
    auto live() const -> std::vector<LiveRouter>;
    /** Number of routers that are reachable and not leaving. */
    auto liveCount() const -> std::size_t;
    auto reachesStore(RouterId router) const -> bool;
    /** Number of routers seen recently, reachable or not. */
    auto recentCount(Time now) const -> std::size_t;
    auto size() const -> std::size_t { return peers_.size(); }

private:
    static auto takesPart(const Peer& peer) -> bool { return peer.isLive && !peer.heartbeat.leaving; }

    std::map<RouterId, Peer> peers_;
};

} // namespace camphorshunt::router
