#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "camphorshunt/action.h"
#include "camphorshunt/event.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

struct MembershipSettings {
    RouterId self;
    Incarnation incarnation;
    std::string name;
    std::uint64_t seed {};
    /** Time between two rounds of probes to random members. */
    Duration probeInterval = 200ms;
    /** A probe without an ack for this long is repeated through other members. */
    Duration probeTimeout = 150ms;
    /**
     * A suspect that does not refute the suspicion within this time is declared dead; half of it after a
     * lost connection.
     */
    Duration suspicionTime = 400ms;
    /** Number of members that are asked to probe on this router's behalf. */
    std::uint32_t indirectProbes = 3;
    /**
     * Members probed in each interval. The number is fixed, so probe traffic per router does not grow with
     * the fleet.
     */
    std::uint32_t probesPerInterval = 2;
    /** A router that was disconnected for this long without an ack to an indirect probe becomes a suspect. */
    Duration reconnectTime = 150ms;
};

struct MemberChange {
    RouterId router;
    Incarnation incarnation;
    MemberState state {};
};

/**
 * Tracks which routers are alive. The VM list names the routers to expect; failures are detected by
 * SWIM (Das, Gupta, Motivala, 2002): random probes, indirect probes, suspicion with refutation, and
 * incarnation numbers, with updates piggybacked on probes and acks. Also chooses the owner of a duty
 * by rendezvous hashing over the live routers.
 */
class Membership {
public:
    static auto create(const MembershipSettings& settings) -> std::unique_ptr<Membership>;
    virtual ~Membership() = default;

    virtual auto handle(Time now, const VmsListed& listed, Actions& actions) -> void = 0;
    virtual auto handle(Time now, const PeerConnected& connected, Actions& actions) -> void = 0;
    virtual auto handle(Time now, const PeerDisconnected& disconnected, Actions& actions) -> void = 0;
    virtual auto handle(Time now, RouterId from, const Probe& probe, Actions& actions) -> void = 0;
    virtual auto handle(Time now, RouterId from, const ProbeAck& ack, Actions& actions) -> void = 0;
    virtual auto tick(Time now, Actions& actions) -> void = 0;
    /** Document versions of this router, sent in turn with its probes and acks. */
    virtual auto setVersions(std::span<const DocumentVersion> versions) -> void = 0;
    /** Announces to peers that this router is draining: it accepts no duties and no new work. */
    virtual auto drain(Time now, Actions& actions) -> void = 0;

    /**
     * Alive and suspect routers that may hold duties, sorted. Includes this one unless it is draining or
     * listed as leaving.
     */
    virtual auto liveRouters() const -> std::span<const RouterId> = 0;
    /**
     * Number of routers on the VM list that are not marked as leaving. This router counts even if unlisted.
     */
    virtual auto expectedCount() const -> std::size_t = 0;
    virtual auto state(RouterId router) const -> MemberState = 0;
    /** Peer endpoint of a router according to the VM list; empty if the router was never listed. */
    virtual auto endpoint(RouterId router) const -> Endpoint = 0;
    /**
     * The live router that holds the duty of a shard: the one with the highest rendezvous hash. This router
     * if none is live.
     */
    virtual auto owner(const ShardId& shard) const -> RouterId = 0;
    /** Changes of state since the last call. */
    virtual auto takeChanges() -> std::vector<MemberChange> = 0;
    /** The members as JSON, for operators. */
    virtual auto status(Time now) const -> std::string = 0;
};

} // namespace camphorshunt
