#pragma once

#include <map>
#include <vector>

#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

#include "peerframe.h"
#include "placementcoordinator.h"

namespace camphorshunt::router {

/** What is known of the other routers: when they were heard, and what they last said of themselves. */
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
    /** True if this changes who may take a duty. */
    auto updateLastSeen(Time now, RouterId router, const std::optional<PeerHeartbeat>& heartbeat) -> bool;
    /** This process stood still: what the peers sent meanwhile is still unread. */
    auto resetSilence(Time now) -> void;

    struct Change {
        /** Routers that have just become silent, and for how long they have been. */
        std::vector<std::pair<RouterId, Duration>> silent;
        bool removed = false;
    };
    auto checkSilence(Time now) -> Change;

    /** Those that may take duties. */
    auto live() const -> std::vector<LiveRouter>;
    auto reachesStore(RouterId router) const -> bool;
    /** Routers that were heard of late, in touch or not. */
    auto recentCount(Time now) const -> std::size_t;
    auto size() const -> std::size_t { return peers_.size(); }

private:
    std::map<RouterId, Peer> peers_;
};

} // namespace camphorshunt::router
