#pragma once

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
    struct Peer {
        double processorShare = 1;
        Time lastSeenAt {};
        PeerHeartbeat heartbeat;
        bool isLive = false;
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
        bool removed = false;
    };
    /** Marks silent peers as not live, and removes those that were lost long ago. */
    auto checkSilence(Time now) -> Change;

    /** Routers that may hold roles for the fleet: reachable and not leaving. */
    auto live() const -> std::vector<LiveRouter>;
    auto reachesStore(RouterId router) const -> bool;
    /** Number of routers seen recently, reachable or not. */
    auto recentCount(Time now) const -> std::size_t;
    auto size() const -> std::size_t { return peers_.size(); }

private:
    std::map<RouterId, Peer> peers_;
};

} // namespace camphorshunt::router
