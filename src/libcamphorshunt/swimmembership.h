#pragma once

#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "membership.h"
#include "membertable.h"
#include "newsqueue.h"

namespace camphorshunt {

/** Membership by SWIM: see `Membership`. */
class SwimMembership final : public Membership {
public:
    explicit SwimMembership(MembershipSettings settings)
        : settings_(std::move(settings))
        , random_(settings_.seed)
    {
        refreshLive();
    }

    auto handle(Time now, const VmsListed& listed, Actions& actions) -> void override;
    auto handle(Time now, const PeerConnected& connected, Actions& actions) -> void override;
    auto handle(Time now, const PeerDisconnected& disconnected, Actions& actions) -> void override;
    auto handle(Time now, RouterId from, const Probe& probe, Actions& actions) -> void override;
    auto handle(Time now, RouterId from, const ProbeAck& ack, Actions& actions) -> void override;
    auto tick(Time now, Actions& actions) -> void override;
    auto setVersions(std::span<const DocumentVersion> versions) -> void override;
    auto drain(Time now, Actions& actions) -> void override;

    auto live() const -> std::span<const RouterId> override { return live_; }
    auto expected() const -> std::size_t override;
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

    auto selfNews() const -> MemberNews;
    auto apply(Time now, const std::vector<MemberNews>& news) -> void;
    auto applyOne(Time now, const MemberNews& news) -> void;
    auto answerNewsOfSelf(const MemberNews& news) -> void;
    auto suspect(Time now, RouterId router, Duration time, Actions& actions) -> void;
    auto sendProbe(Time now, RouterId router, Actions& actions) -> void;
    auto sendIndirect(RouterId target, std::uint64_t sequence, Actions& actions) -> void;
    template <typename Message> auto send(RouterId to, Message message, Actions& actions) -> void;
    auto probeSome(Time now, Actions& actions) -> void;
    auto checkPending(Time now, Actions& actions) -> void;
    auto checkMembers(Time now, Actions& actions) -> void;
    auto forgiveOwnPause(Time now) -> void;
    auto forgetUnlisted(Actions& actions) -> void;
    auto refreshLive() -> void;

    MembershipSettings settings_;
    std::mt19937_64 random_;
    MemberTable members_;
    std::map<RouterId, PendingProbe> pending_;
    NewsQueue news_;
    std::vector<DocumentVersion> versions_;
    std::size_t nextVersion_ {};
    std::vector<RouterId> order_;
    std::vector<RouterId> live_;
    std::uint64_t sequence_ {};
    std::uint32_t refutation_ {};
    bool draining_ {};
    bool selfListedLeaving_ {};
    std::optional<Time> nextProbe_;
    std::optional<Time> lastTick_;
};

} // namespace camphorshunt
