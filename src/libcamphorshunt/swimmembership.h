#pragma once

#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "disseminationqueue.h"
#include "membership.h"
#include "membertable.h"

namespace camphorshunt {

/** Implements `Membership` with the SWIM protocol. */
class SwimMembership final : public Membership {
public:
    explicit SwimMembership(MembershipSettings settings)
        : settings_(std::move(settings))
        , random_(settings_.seed)
    {
        refreshLiveRouters();
    }

    auto handle(Time now, const VmsListed& listed, Actions& actions) -> void override;
    auto handle(Time now, const PeerConnected& connected, Actions& actions) -> void override;
    auto handle(Time now, const PeerDisconnected& disconnected, Actions& actions) -> void override;
    auto handle(Time now, RouterId from, const Probe& probe, Actions& actions) -> void override;
    auto handle(Time now, RouterId from, const ProbeAck& ack, Actions& actions) -> void override;
    auto tick(Time now, Actions& actions) -> void override;
    auto setVersions(std::span<const DocumentVersion> versions) -> void override;
    auto drain(Time now, Actions& actions) -> void override;

    auto liveRouters() const -> std::span<const RouterId> override { return liveRouters_; }
    auto expectedCount() const -> std::size_t override;
    auto state(RouterId router) const -> MemberState override;
    auto endpoint(RouterId router) const -> Endpoint override;
    auto owner(const ShardId& shard) const -> RouterId override;
    auto takeChanges() -> std::vector<MemberChange> override { return members_.takeChanges(); }
    auto status(Time now) const -> std::string override;

private:
    struct PendingProbe {
        std::uint64_t sequence {};
        Time sent;
        bool indirect {};
    };

    auto selfUpdate() const -> MemberUpdate;
    auto applyUpdates(Time now, const std::vector<MemberUpdate>& updates) -> void;
    auto applyUpdate(Time now, const MemberUpdate& update) -> void;
    /** Refutes an update that declares this router suspect or dead, by raising its refutation number. */
    auto handleSelfUpdate(const MemberUpdate& update) -> void;
    /** Declares a router suspect; it is declared dead after `time` unless it refutes. */
    auto startSuspicion(Time now, RouterId router, Duration time, Actions& actions) -> void;
    auto sendProbe(Time now, RouterId router, Actions& actions) -> void;
    auto sendIndirectProbes(RouterId target, std::uint64_t sequence, Actions& actions) -> void;
    template <typename Message> auto send(RouterId to, Message message, Actions& actions) -> void;
    auto probeNextMembers(Time now, Actions& actions) -> void;
    auto checkPendingProbes(Time now, Actions& actions) -> void;
    auto checkMembers(Time now, Actions& actions) -> void;
    /** Extends all timeouts by the time for which this process was paused. */
    auto compensateForPause(Time now) -> void;
    auto removeUnlistedDead(Actions& actions) -> void;
    auto refreshLiveRouters() -> void;

    MembershipSettings settings_;
    std::mt19937_64 random_;
    MemberTable members_;
    std::map<RouterId, PendingProbe> pendingProbes_;
    DisseminationQueue dissemination_;
    std::vector<DocumentVersion> versions_;
    std::size_t nextVersion_ {};
    std::vector<RouterId> probeOrder_;
    std::vector<RouterId> liveRouters_;
    std::uint64_t sequence_ {};
    std::uint32_t refutation_ {};
    bool draining_ {};
    bool selfListedLeaving_ {};
    std::optional<Time> nextProbeAt_;
    std::optional<Time> lastTickAt_;
};

} // namespace camphorshunt
