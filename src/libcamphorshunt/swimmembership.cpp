#include "swimmembership.h"

#include <algorithm>

#include <boost/json.hpp>

#include "rendezvous.h"

namespace camphorshunt {

namespace {

/** Member updates and document versions on one probe or ack; bounds the message length. */
constexpr auto maxPiggybackedUpdates = std::size_t { 6 };
constexpr auto maxPiggybackedVersions = std::size_t { 8 };
/** Probes sent immediately when this router starts to drain, to announce it. */
constexpr auto drainFanOut = std::size_t { 16 };
/**
 * A longer interval between ticks means that this process was paused, and must not time out other members.
 */
constexpr auto maxTickGap = Duration { 100ms };

} // namespace

auto SwimMembership::handle(Time now, const VmsListed& listed, Actions& actions) -> void
{
    selfListedLeaving_ = std::ranges::any_of(listed.vms, [this](const VmEntry& vm) {
        return vm.role == VmRole::Router && vm.leaving && idOf<RouterId>(vm.name) == settings_.self;
    });
    for (const auto router : members_.setListed(listed, settings_.self))
        actions.emplace_back(KeepPeer { router, members_.find(router)->endpoint });
    removeUnlistedDead(actions);
    refreshLiveRouters();
}

auto SwimMembership::handle(Time now, const PeerConnected& connected, Actions& actions) -> void
{
    auto& member = members_.add(connected.router);
    member.connected = true;
    member.proven = true;
    member.lostAt.reset();
    applyUpdate(now, { connected.router, connected.incarnation, MemberState::Alive, 0 });
    refreshLiveRouters();
    sendProbe(now, connected.router, actions);
}

auto SwimMembership::handle(Time now, const PeerDisconnected& disconnected, Actions& actions) -> void
{
    auto* const member = members_.find(disconnected.router);
    if (member == nullptr)
        return;
    member->connected = false;
    if (member->state == MemberState::Dead) {
        removeUnlistedDead(actions);
        return;
    }
    member->lostAt = now;
    pendingProbes_[disconnected.router] = { ++sequence_, now, true };
    sendIndirectProbes(disconnected.router, sequence_, actions);
}

auto SwimMembership::handle(Time now, RouterId from, const Probe& probe, Actions& actions) -> void
{
    applyUpdates(now, probe.news);
    if (probe.target == settings_.self) {
        send(from, ProbeAck { probe.sequence, probe.target, probe.relayFor, { selfUpdate() }, {} }, actions);
        return;
    }
    if (probe.relayFor == from && members_.contains(probe.target))
        send(probe.target, Probe { probe.sequence, probe.target, probe.relayFor, {}, {} }, actions);
}

auto SwimMembership::handle(Time now, RouterId from, const ProbeAck& ack, Actions& actions) -> void
{
    applyUpdates(now, ack.news);
    if (ack.relayFor.value != 0 && ack.relayFor != settings_.self) {
        auto relayed = ProbeAck { ack.sequence, ack.target, ack.relayFor, {}, {} };
        if (const auto update = members_.updateOf(ack.target))
            relayed.news.push_back(*update);
        if (ack.target == from && members_.contains(ack.relayFor))
            send(ack.relayFor, std::move(relayed), actions);
        return;
    }
    const auto pending = pendingProbes_.find(ack.target);
    if (pending == pendingProbes_.end() || pending->second.sequence != ack.sequence)
        return;
    pendingProbes_.erase(pending);
    if (auto* const member = members_.find(ack.target))
        member->lostAt.reset();
}

auto SwimMembership::tick(Time now, Actions& actions) -> void
{
    compensateForPause(now);
    checkPendingProbes(now, actions);
    checkMembers(now, actions);
    if (!nextProbeAt_)
        nextProbeAt_
            = now + Duration(random_() % static_cast<std::uint64_t>(settings_.probeInterval.count()));
    if (now < *nextProbeAt_)
        return;
    nextProbeAt_ = now + settings_.probeInterval;
    probeNextMembers(now, actions);
}

auto SwimMembership::setVersions(std::span<const DocumentVersion> versions) -> void
{
    versions_.assign(versions.begin(), versions.end());
}

auto SwimMembership::drain(Time now, Actions& actions) -> void
{
    if (draining_)
        return;
    draining_ = true;
    ++refutation_;
    dissemination_.push(selfUpdate());
    refreshLiveRouters();

    auto targets = std::vector<RouterId> {};
    for (const auto& [router, member] : members_) {
        if (member.connected)
            targets.push_back(router);
    }
    std::ranges::shuffle(targets, random_);
    targets.resize(std::min(targets.size(), drainFanOut));
    for (const auto router : targets)
        sendProbe(now, router, actions);
}

auto SwimMembership::expectedCount() const -> std::size_t
{
    return members_.expectedCount() + (selfListedLeaving_ ? 0 : 1);
}

auto SwimMembership::state(RouterId router) const -> MemberState
{
    if (router == settings_.self)
        return selfUpdate().state;
    const auto* const member = members_.find(router);
    return member == nullptr ? MemberState::Dead : member->state;
}

auto SwimMembership::owner(const ShardId& shard) const -> RouterId
{
    return liveRouters_.empty() ? settings_.self : rendezvousOwner(shard, liveRouters_);
}

auto SwimMembership::status(Time now) const -> std::string
{
    return boost::json::serialize(boost::json::object { { "self", settings_.name },
        { "router", settings_.self.value }, { "state", memberStateName(selfUpdate().state) },
        { "live", liveRouters_.size() }, { "expected", expectedCount() }, { "members", members_.status() } });
}

auto SwimMembership::selfUpdate() const -> MemberUpdate
{
    const auto state = draining_ ? MemberState::Draining : MemberState::Alive;
    return { settings_.self, settings_.incarnation, state, refutation_ };
}

auto SwimMembership::applyUpdates(Time now, const std::vector<MemberUpdate>& updates) -> void
{
    for (const auto& update : updates)
        applyUpdate(now, update);
    refreshLiveRouters();
}

auto SwimMembership::applyUpdate(Time now, const MemberUpdate& update) -> void
{
    if (update.router == settings_.self) {
        handleSelfUpdate(update);
        return;
    }
    if (!members_.applyUpdate(now, update, settings_.suspicionTime))
        return;
    if (update.state == MemberState::Dead)
        pendingProbes_.erase(update.router);
    dissemination_.push(update);
}

auto SwimMembership::handleSelfUpdate(const MemberUpdate& update) -> void
{
    const auto isSuspected = update.state == MemberState::Suspect || update.state == MemberState::Dead;
    if (!isSuspected || update.incarnation != settings_.incarnation || update.refutation < refutation_)
        return;
    refutation_ = update.refutation + 1;
    dissemination_.push(selfUpdate());
}

auto SwimMembership::startSuspicion(Time now, RouterId router, Duration time, Actions& actions) -> void
{
    auto& member = *members_.find(router);
    if (member.state != MemberState::Alive && member.state != MemberState::Draining)
        return;
    applyUpdate(now, { router, member.incarnation, MemberState::Suspect, member.refutation });
    member.deadAt = now + time;
    // Notifies the suspect immediately, so that it can refute.
    sendProbe(now, router, actions);
    sendIndirectProbes(router, pendingProbes_.at(router).sequence, actions);
}

auto SwimMembership::sendProbe(Time now, RouterId router, Actions& actions) -> void
{
    pendingProbes_[router] = { ++sequence_, now, false };
    send(router, Probe { sequence_, router, {}, { selfUpdate() }, {} }, actions);
}

auto SwimMembership::sendIndirectProbes(RouterId target, std::uint64_t sequence, Actions& actions) -> void
{
    auto helpers = std::vector<RouterId> {};
    for (const auto& [router, member] : members_) {
        if (router != target && member.connected && member.state != MemberState::Dead)
            helpers.push_back(router);
    }
    std::ranges::shuffle(helpers, random_);
    helpers.resize(std::min<std::size_t>(helpers.size(), settings_.indirectProbes));
    for (const auto helper : helpers) {
        auto probe = Probe { sequence, target, settings_.self, {}, {} };
        if (const auto update = members_.updateOf(target))
            probe.news.push_back(*update);
        send(helper, std::move(probe), actions);
    }
}

template <typename Message> auto SwimMembership::send(RouterId to, Message message, Actions& actions) -> void
{
    // An update that declares the receiver suspect or dead goes first, so that the receiver can refute it.
    const auto receiverUpdate = members_.updateOf(to);
    if (receiverUpdate
        && (receiverUpdate->state == MemberState::Suspect || receiverUpdate->state == MemberState::Dead))
        message.news.push_back(*receiverUpdate);
    if (message.news.size() < maxPiggybackedUpdates)
        dissemination_.collect(
            maxPiggybackedUpdates - message.news.size(), members_.size() + 1, message.news);
    for (auto count = std::min(maxPiggybackedVersions, versions_.size()); count > 0; --count)
        message.versions.push_back(versions_[nextVersion_++ % versions_.size()]);
    actions.emplace_back(SendPeer { to, std::move(message) });
}

auto SwimMembership::probeNextMembers(Time now, Actions& actions) -> void
{
    auto sent = std::uint32_t { 0 };
    for (auto remaining = members_.size(); remaining > 0 && sent < settings_.probesPerInterval; --remaining) {
        if (probeOrder_.empty()) {
            for (const auto& [router, member] : members_)
                probeOrder_.push_back(router);
            std::ranges::shuffle(probeOrder_, random_);
        }
        const auto router = probeOrder_.back();
        probeOrder_.pop_back();
        const auto* const member = members_.find(router);
        if (member == nullptr || pendingProbes_.contains(router))
            continue;
        if (member->state == MemberState::Dead && !member->connected)
            continue;
        sendProbe(now, router, actions);
        ++sent;
    }
}

auto SwimMembership::checkPendingProbes(Time now, Actions& actions) -> void
{
    const auto failureTimeout = settings_.probeTimeout * 4 / 3;
    auto failed = std::vector<RouterId> {};
    for (auto& [router, probe] : pendingProbes_) {
        if (!probe.indirect && now >= probe.sent + settings_.probeTimeout) {
            probe.indirect = true;
            sendIndirectProbes(router, probe.sequence, actions);
        }
        if (now >= probe.sent + failureTimeout)
            failed.push_back(router);
    }
    for (const auto router : failed) {
        pendingProbes_.erase(router);
        if (members_.contains(router))
            startSuspicion(now, router, settings_.suspicionTime, actions);
    }
}

auto SwimMembership::checkMembers(Time now, Actions& actions) -> void
{
    auto lost = std::vector<RouterId> {};
    for (auto& [router, member] : members_) {
        if (member.lostAt && now >= *member.lostAt + settings_.reconnectTime) {
            member.lostAt.reset();
            lost.push_back(router);
        }
        if (member.deadAt && now >= *member.deadAt)
            applyUpdate(now, { router, member.incarnation, MemberState::Dead, member.refutation });
    }
    for (const auto router : lost)
        startSuspicion(now, router, settings_.suspicionTime / 2, actions);
    removeUnlistedDead(actions);
    refreshLiveRouters();
}

auto SwimMembership::compensateForPause(Time now) -> void
{
    const auto pause = lastTickAt_ ? now - *lastTickAt_ : Duration {};
    lastTickAt_ = now;
    if (pause <= maxTickGap)
        return;
    for (auto& [router, probe] : pendingProbes_)
        probe.sent += pause;
    members_.postponeTimeouts(pause);
}

auto SwimMembership::endpoint(RouterId router) const -> Endpoint
{
    const auto* const member = members_.find(router);
    return member ? member->endpoint : Endpoint {};
}

auto SwimMembership::removeUnlistedDead(Actions& actions) -> void
{
    for (const auto router : members_.removeUnlistedDead()) {
        pendingProbes_.erase(router);
        dissemination_.remove(router);
        actions.emplace_back(KeepPeer { router, {} });
    }
}

auto SwimMembership::refreshLiveRouters() -> void
{
    liveRouters_.clear();
    if (!draining_ && !selfListedLeaving_)
        liveRouters_.push_back(settings_.self);
    for (const auto& [router, member] : members_) {
        if (member.isLive())
            liveRouters_.push_back(router);
    }
    std::ranges::sort(liveRouters_);
}

} // namespace camphorshunt
