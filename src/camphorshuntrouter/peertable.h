#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

#include "hubregistry.h"
#include "peerframe.h"
#include "placementcoordinator.h"

namespace camphorshunt::router {

/**
 * The connected routers: when a frame of theirs was last received, their last heartbeat, and when the next
 * one to them is due. Heartbeats are frequent between hubs and from a router to those that depend on it.
 */
class PeerTable {
public:
    /** A router that was silent takes no role until it has been heard regularly for this long. */
    static constexpr auto rejoinTime = Duration(std::chrono::seconds(2));
    static constexpr auto silenceAllowance = Duration(std::chrono::milliseconds(60));
    static constexpr auto frequentInterval = Duration(std::chrono::milliseconds(120));
    static constexpr auto rareInterval = Duration(std::chrono::milliseconds(1000));
    /** A peer with frequent heartbeats that is silent for this long holds no role: three heartbeats and an
     * allowance for the network.
     */
    static constexpr auto silenceLimit = 3 * frequentInterval + silenceAllowance;
    /** Time for a probed router to answer, with its first frequent heartbeat or any other frame. */
    static constexpr auto probeLimit = 2 * frequentInterval + silenceAllowance;

    struct Peer {
        double processorShare = 1;
        Time lastSeenAt {};
        PeerHeartbeat heartbeat;
        std::uint64_t incarnation = 0;
        std::uint64_t failureDomain = 0;
        bool isLive = false;
        /** Has a connection; its process may be paused nevertheless. */
        bool isConnected = false;
        bool wasHub = false;
        /** False from a silence until the router has been heard without one for `rejoinTime`. */
        bool isSteady = true;
        Time liveSince {};
        /** Interval of its heartbeats, as it announced. */
        Duration interval = frequentInterval;
        /** Number of routers connected to it, itself included. */
        std::size_t fleetSize = 0;
        bool dependsOnThis = false;
        /** Sends no presence: it needs frequent heartbeats, and updates from the store's reader. */
        bool isOldBuild = false;
        /** This router needs its frequent heartbeats. */
        bool isDependency = false;
        /** It has been asked for a heartbeat at once, and has not been heard since. */
        bool isProbed = false;
        Time nextHeartbeat {};
        /** The last value of its clock that it has sent, and when that was received. */
        std::uint64_t clock = 0;
        Time clockReceivedAt {};

        /** Interval of the heartbeats that this router expects of it. */
        auto expectedInterval() const -> Duration { return isDependency ? frequentInterval : interval; }
    };

    auto connected(Time now, RouterId router, const PeerHello& hello) -> void;
    /** The connection has ended. */
    auto lost(RouterId router) -> void;
    /** Records a received frame. Returns true if this changes which routers may hold a role. */
    auto updateLastSeen(Time now, RouterId router, const std::optional<PeerHeartbeat>& heartbeat) -> bool;
    auto updatePresence(RouterId router, const PeerPresence& presence) -> void;
    /**
     * Records the clock of a received frame. Returns a time before which the frame was not sent, later than
     * that by the delay of this router's last clock value at most; empty before the router has echoed one.
     */
    auto updateClock(Time now, RouterId router, const PeerClock& clock) -> std::optional<Time>;
    /** The clock of a frame to the router. */
    auto clockFor(Time now, RouterId router) const -> PeerClock;
    /**
     * Sets the routers whose frequent heartbeats this router needs. Returns those for which this is a change;
     * they are to be told.
     */
    auto setDependencies(Time now, const std::set<RouterId>& routers) -> std::vector<RouterId>;
    /** Whether frequent heartbeats are asked of the router. */
    auto needsHeartbeats(RouterId router) const -> bool;
    /**
     * Asks connected hubs and standby routers with rare heartbeats for one at once, as they may have been
     * lost together with a dependency. Returns those that are to be told.
     */
    auto probeCandidates(Time now, const HubRegistry& hubs) -> std::vector<RouterId>;
    /** Routers to which a heartbeat is due, with the time until the next one to them. */
    auto takeDueHeartbeats(Time now, const HubRegistry& hubs, RouterId self)
        -> std::vector<std::pair<RouterId, Duration>>;
    /** Makes a heartbeat to every router due. */
    auto hastenHeartbeats() -> void;
    /** Routers that are to get updates from this one: those that depend on it, and the hubs and old builds if
     * `withHubs`.
     */
    auto updateTargets(const HubRegistry& hubs, bool withHubs) const -> std::vector<RouterId>;
    auto connectedRouters() const -> std::vector<RouterId>;
    /** The process of a router that was lost is gone, so the router is not merely cut off. */
    auto forget(RouterId router) -> void;
    /**
     * Restarts the silence timeout of all peers. For use after a process pause, when the frames that they
     * sent meanwhile are still unread.
     */
    auto resetSilence(Time now) -> void;

    struct Change {
        /** Routers that exceeded the silence limit since the last check, and the length of their silence. */
        std::vector<std::pair<RouterId, Duration>> silent;
        /** One of them was a dependency. */
        bool dependencyLost = false;
        /** Other peers take roles or count again, or no longer. */
        bool others = false;
    };
    /** Marks silent peers as not live, and removes those that were lost long ago. */
    auto checkSilence(Time now) -> Change;

    /**
     * Hubs that may hold roles for the fleet: reachable, not leaving, and not silent a moment ago. If that
     * leaves less than half of the reachable ones, it was rather this router that was cut off, and all count.
     */
    auto live(const HubRegistry& hubs) const -> std::vector<LiveRouter>;
    /** Number of connected routers that are live and not leaving. */
    auto liveCount() const -> std::size_t;
    /** Number of routers in the fleet, this one included, as far as this router or a live peer knows. */
    auto fleetSize() const -> std::size_t;
    auto reachesStore(RouterId router) const -> bool;
    /** Number of hubs that are live. */
    auto liveHubs(const HubRegistry& hubs) const -> std::size_t;
    /** Number of routers that were hubs and seen recently but are not live: they may be cut off and in use.
     */
    auto missingHubs(Time now) const -> std::size_t;
    auto size() const -> std::size_t { return peers_.size(); }
    auto peers() const -> const std::map<RouterId, Peer>& { return peers_; }

private:
    static auto takesPart(const Peer& peer) -> bool { return peer.isLive && !peer.heartbeat.leaving; }
    static auto silenceLimitOfPeer(const Peer& peer) -> Duration;

    std::map<RouterId, Peer> peers_;
};

} // namespace camphorshunt::router
