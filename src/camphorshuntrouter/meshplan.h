#pragma once

#include <map>
#include <random>
#include <set>
#include <vector>

#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

#include "hubregistry.h"
#include "peerframe.h"

namespace camphorshunt::router {

/**
 * Which routers this one dials and when, and which of its connections it keeps. A router is identified by the
 * address on which it listens for peers. Either end may dial; of two connections between the same routers,
 * the one dialled by the router with the smaller address is kept. Uses no sockets and no clock.
 */
class MeshPlan {
public:
    explicit MeshPlan(PeerHello hello);

    /** The router is dialled if it is a hub, and again when the connection is lost. */
    auto addPeer(const RouterAddress& address) -> void;
    /** A connected router that is silent is no hub until it is heard again. */
    auto setResponsive(Time now, RouterId router, bool responsive) -> void;

    struct Due {
        /** Dials without an answer, to be given up. */
        std::vector<RouterId> expired;
        std::vector<RouterId> dials;
        /** Connections of which neither end is a hub any more, to be closed. */
        std::vector<RouterId> surplus;
    };
    /** The dials and connections to begin and to end now. */
    auto takeDue(Time now) -> Due;

    enum class Admission : std::uint8_t {
        Accepted,
        /** Accepted in place of the connection that there was. */
        Replaces,
        Rejected,
    };
    /** Decides on a connection of which the hello has arrived; `dialled`: by this router. */
    auto admit(Time now, const PeerHello& hello, bool dialled) -> Admission;
    auto dialFailed(Time now, RouterId router) -> void;
    auto disconnected(Time now, RouterId router) -> void;

    auto hubs() const -> const HubRegistry& { return hubs_; }
    auto hello() const -> const PeerHello& { return hello_; }
    auto self() const -> RouterId { return self_; }
    /** Hubs and standby routers that were not returned before. */
    auto takeNewCandidates() -> std::vector<RouterAddress>;
    /** All hubs and standby routers. */
    auto candidates() const -> std::vector<RouterAddress>;

private:
    struct Peer {
        bool isConnected = false;
        bool isDialling = false;
        /** The connection was dialled by this router. */
        bool dialled = false;
        Time nextDial {};
        Duration backoff {};
        /** When the router was last a hub, or this one was. */
        Time neededAt {};
    };

    auto takeSurplus(Time now) -> std::vector<RouterId>;
    auto redialAfter(Time now, Peer& peer) -> void;

    PeerHello hello_;
    RouterId self_;
    HubRegistry hubs_;
    std::map<RouterId, Peer> peers_;
    std::set<RouterId> announced_;
    std::minstd_rand random_;
};

} // namespace camphorshunt::router
