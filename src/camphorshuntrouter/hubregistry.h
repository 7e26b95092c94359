#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

#include "peerframe.h"

namespace camphorshunt::router {

/**
 * The routers that this one knows of, and which of them are hubs. Every router keeps a connection to each
 * hub, and only hubs hold roles for the fleet, so that connections and heartbeats of a router that is no hub
 * do not grow with the fleet. Hubs are the first `maxHubs` reachable routers in an order that is the same in
 * every router: larger shares of the processor first, in powers of two, then by hash. When hubs are lost, the
 * next ones in the order step in without a vote. Uses no sockets and no clock.
 */
class HubRegistry {
public:
    static constexpr auto maxHubs = std::size_t { 16 };
    /** Routers known beside the hubs, to replace them. */
    static constexpr auto maxStandby = std::size_t { 16 };

    explicit HubRegistry(RouterAddress self);

    /** Adds a router or completes what is known of it. Returns true if this is new. */
    auto learn(const RouterAddress& received) -> bool;
    /** An unreachable router is no hub. Unknown routers are ignored. */
    auto setReachable(Time now, RouterId router, bool reachable) -> void;
    auto setConnected(RouterId router, bool connected) -> void;
    /** Forgets routers that have been unreachable for `age`. */
    auto removeUnreachable(Time now, Duration age) -> void;

    auto knows(RouterId router) const -> bool { return routers_.contains(router); }
    auto address(RouterId router) const -> const RouterAddress& { return routers_.at(router).address; }
    /** The hubs, this router included if it is one, in order. */
    auto hubs() const -> const std::vector<RouterId>& { return ranking().hubs; }
    auto isHub(RouterId router) const -> bool;
    /** Routers to connect to: the other hubs, and unreachable routers that would be hubs. */
    auto dialTargets() const -> const std::vector<RouterId>& { return ranking().targets; }
    /** Hubs and standby routers, for other routers to learn. */
    auto candidates() const -> const std::vector<RouterId>& { return ranking().candidates; }

private:
    struct Router {
        RouterAddress address;
        bool reachable = true;
        bool connected = false;
        Time unreachableSince {};
    };
    struct Ranking {
        std::vector<RouterId> hubs;
        std::vector<RouterId> targets;
        std::vector<RouterId> candidates;
    };

    auto ranking() const -> const Ranking&;
    auto inOrder() const -> std::vector<RouterId>;
    /** Drops the last routers in the order, beyond those that could become hubs, unless connected. */
    auto dropSurplus() -> void;

    RouterId self_;
    std::map<RouterId, Router> routers_;
    mutable Ranking ranking_;
    mutable bool rankingIsCurrent_ = false;
};

} // namespace camphorshunt::router
