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
    /** Time between two probes of random members. */
    Duration probeInterval = 200ms;
    /** Without a direct answer for this long, others are asked to probe. */
    Duration probeTimeout = 150ms;
    /** A suspect that does not refute for this long is dead. */
    Duration suspicionTime = 400ms;
    /** Members asked for an indirect probe. */
    std::uint32_t indirectProbes = 3;
    /** Members probed in each interval; the traffic of probes does not grow with the fleet. */
    std::uint32_t probesPerInterval = 2;
    /** A lost connection that is not back for this long makes its router a suspect. */
    Duration reconnectTime = 150ms;
};

struct MemberChange {
    RouterId router;
    Incarnation incarnation;
    MemberState state {};
};

/**
 * Which routers are alive: the VM list says whom to expect, probes say who answers (SWIM: random
 * probes, indirect probes, suspicion, incarnation numbers). Also chooses the owner of a duty by
 * rendezvous hashing over the live routers.
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
    /** Put on every probe and ack. */
    virtual auto setVersions(std::span<const DocumentVersion> versions) -> void = 0;
    /** Tells peers that this router takes no duties and no new work. */
    virtual auto drain(Time now, Actions& actions) -> void = 0;

    /** Alive routers that may hold duties, this one included unless it drains; sorted. */
    virtual auto liveRouters() const -> std::span<const RouterId> = 0;
    /** Routers on the VM list that are not marked leaving, this one included. */
    virtual auto expectedCount() const -> std::size_t = 0;
    virtual auto state(RouterId router) const -> MemberState = 0;
    /** Where the VM list says that a router listens for its peers; empty when it is not listed. */
    virtual auto endpoint(RouterId router) const -> Endpoint = 0;
    /** The live router that holds the duty of a shard: the highest rendezvous hash. */
    virtual auto owner(const ShardId& shard) const -> RouterId = 0;
    /** Changes of state since the last call. */
    virtual auto takeChanges() -> std::vector<MemberChange> = 0;
    virtual auto status(Time now) const -> std::string = 0;
};

} // namespace camphorshunt
