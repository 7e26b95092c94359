#include "swimmembership.h"

#include <algorithm>

#include <boost/json.hpp>

#include "rendezvous.h"

namespace camphorshunt {

namespace {

/** Most news items and document versions on one probe or ack; they bound its length. */
constexpr auto longestNews = std::size_t { 6 };
constexpr auto longestVersions = std::size_t { 8 };
/** Probes sent at once when this router starts to drain. */
constexpr auto drainFanOut = std::size_t { 16 };
/** A pause between ticks beyond this is our own, and not held against others. */
constexpr auto longestPause = Duration { 100ms };

} // namespace

auto SwimMembership::handle(Time now, const VmsListed& listed, Actions& actions) -> void
{
    selfListedLeaving_ = std::ranges::any_of(listed.vms, [this](const VmEntry& vm) {
        return vm.role == VmRole::Router && vm.leaving && idOf<RouterId>(vm.name) == settings_.self;
    });
    for (const auto router : members_.setListed(listed, settings_.self))
        actions.emplace_back(KeepPeer { router, members_.find(router)->endpoint });
    forgetUnlisted(actions);
    refreshLive();
}

auto SwimMembership::handle(Time now, const PeerConnected& connected, Actions& actions) -> void
{
    auto& member = members_.add(connected.router);
    member.connected = true;
    member.proven = true;
    member.lostAt.reset();
    applyOne(now, { connected.router, connected.incarnation, MemberState::Alive, 0 });
    refreshLive();
    sendProbe(now, connected.router, actions);
}

auto SwimMembership::handle(Time now, const PeerDisconnected& disconnected, Actions& actions) -> void
{
    auto* const member = members_.find(disconnected.router);
    if (member == nullptr)
        return;
    member->connected = false;
    if (member->state == MemberState::Dead) {
        forgetUnlisted(actions);
        return;
    }
    member->lostAt = now;
    pending_[disconnected.router] = { ++sequence_, now, true };
    sendIndirect(disconnected.router, sequence_, actions);
}

auto SwimMembership::handle(Time now, RouterId from, const Probe& probe, Actions& actions) -> void
{
    apply(now, probe.news);
    if (probe.target == settings_.self) {
        send(from, ProbeAck { probe.sequence, probe.target, probe.relayFor, { selfNews() }, {} }, actions);
        return;
    }
    if (probe.relayFor == from && members_.contains(probe.target))
        send(probe.target, Probe { probe.sequence, probe.target, probe.relayFor, {}, {} }, actions);
}

auto SwimMembership::handle(Time now, RouterId from, const ProbeAck& ack, Actions& actions) -> void
{
    apply(now, ack.news);
    if (ack.relayFor.value != 0 && ack.relayFor != settings_.self) {
        auto relayed = ProbeAck { ack.sequence, ack.target, ack.relayFor, {}, {} };
        if (const auto news = members_.newsOf(ack.target))
            relayed.news.push_back(*news);
        if (ack.target == from && members_.contains(ack.relayFor))
            send(ack.relayFor, std::move(relayed), actions);
        return;
    }
    const auto pending = pending_.find(ack.target);
    if (pending == pending_.end() || pending->second.sequence != ack.sequence)
        return;
    pending_.erase(pending);
    if (auto* const member = members_.find(ack.target))
        member->lostAt.reset();
}

auto SwimMembership::tick(Time now, Actions& actions) -> void
{
    forgiveOwnPause(now);
    checkPending(now, actions);
    checkMembers(now, actions);
    if (!nextProbe_)
        nextProbe_ = now + Duration(random_() % static_cast<std::uint64_t>(settings_.probeInterval.count()));
    if (now < *nextProbe_)
        return;
    nextProbe_ = now + settings_.probeInterval;
    probeSome(now, actions);
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
    news_.push(selfNews());
    refreshLive();

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

auto SwimMembership::expected() const -> std::size_t
{
    return members_.expected() + (selfListedLeaving_ ? 0 : 1);
}

auto SwimMembership::state(RouterId router) const -> MemberState
{
    if (router == settings_.self)
        return selfNews().state;
    const auto* const member = members_.find(router);
    return member == nullptr ? MemberState::Dead : member->state;
}

auto SwimMembership::owner(const ShardId& shard) const -> RouterId
{
    return live_.empty() ? settings_.self : rendezvousOwner(shard, live_);
}

auto SwimMembership::status(Time now) const -> std::string
{
    return boost::json::serialize(boost::json::object { { "self", settings_.name },
        { "router", settings_.self.value }, { "state", memberStateName(selfNews().state) },
        { "live", live_.size() }, { "expected", expected() }, { "members", members_.status() } });
}

auto SwimMembership::selfNews() const -> MemberNews
{
    const auto state = draining_ ? MemberState::Draining : MemberState::Alive;
    return { settings_.self, settings_.incarnation, state, refutation_ };
}

auto SwimMembership::apply(Time now, const std::vector<MemberNews>& news) -> void
{
    for (const auto& item : news)
        applyOne(now, item);
    refreshLive();
}

auto SwimMembership::applyOne(Time now, const MemberNews& news) -> void
{
    if (news.router == settings_.self) {
        answerNewsOfSelf(news);
        return;
    }
    if (!members_.apply(now, news, settings_.suspicionTime))
        return;
    if (news.state == MemberState::Dead)
        pending_.erase(news.router);
    news_.push(news);
}

auto SwimMembership::answerNewsOfSelf(const MemberNews& news) -> void
{
    const auto doubted = news.state == MemberState::Suspect || news.state == MemberState::Dead;
    if (!doubted || news.incarnation != settings_.incarnation || news.refutation < refutation_)
        return;
    refutation_ = news.refutation + 1;
    news_.push(selfNews());
}

auto SwimMembership::suspect(Time now, RouterId router, Duration time, Actions& actions) -> void
{
    auto& member = *members_.find(router);
    if (member.state != MemberState::Alive && member.state != MemberState::Draining)
        return;
    applyOne(now, { router, member.incarnation, MemberState::Suspect, member.refutation });
    member.deadAt = now + time;
    // The suspect learns of it at once, and can contradict.
    sendProbe(now, router, actions);
    sendIndirect(router, pending_.at(router).sequence, actions);
}

auto SwimMembership::sendProbe(Time now, RouterId router, Actions& actions) -> void
{
    pending_[router] = { ++sequence_, now, false };
    send(router, Probe { sequence_, router, {}, { selfNews() }, {} }, actions);
}

auto SwimMembership::sendIndirect(RouterId target, std::uint64_t sequence, Actions& actions) -> void
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
        if (const auto news = members_.newsOf(target))
            probe.news.push_back(*news);
        send(helper, std::move(probe), actions);
    }
}

template <typename Message> auto SwimMembership::send(RouterId to, Message message, Actions& actions) -> void
{
    // What is believed of the receiver comes first, so that it can contradict.
    const auto belief = members_.newsOf(to);
    if (belief && (belief->state == MemberState::Suspect || belief->state == MemberState::Dead))
        message.news.push_back(*belief);
    if (message.news.size() < longestNews)
        news_.take(longestNews - message.news.size(), members_.size() + 1, message.news);
    for (auto count = std::min(longestVersions, versions_.size()); count > 0; --count)
        message.versions.push_back(versions_[nextVersion_++ % versions_.size()]);
    actions.emplace_back(SendPeer { to, std::move(message) });
}

auto SwimMembership::probeSome(Time now, Actions& actions) -> void
{
    auto sent = std::uint32_t { 0 };
    for (auto tried = members_.size(); tried > 0 && sent < settings_.probesPerInterval; --tried) {
        if (order_.empty()) {
            for (const auto& [router, member] : members_)
                order_.push_back(router);
            std::ranges::shuffle(order_, random_);
        }
        const auto router = order_.back();
        order_.pop_back();
        const auto* const member = members_.find(router);
        if (member == nullptr || pending_.contains(router))
            continue;
        if (member->state == MemberState::Dead && !member->connected)
            continue;
        sendProbe(now, router, actions);
        ++sent;
    }
}

auto SwimMembership::checkPending(Time now, Actions& actions) -> void
{
    const auto failedAfter = settings_.probeTimeout * 4 / 3;
    auto failed = std::vector<RouterId> {};
    for (auto& [router, probe] : pending_) {
        if (!probe.indirect && now >= probe.sent + settings_.probeTimeout) {
            probe.indirect = true;
            sendIndirect(router, probe.sequence, actions);
        }
        if (now >= probe.sent + failedAfter)
            failed.push_back(router);
    }
    for (const auto router : failed) {
        pending_.erase(router);
        if (members_.contains(router))
            suspect(now, router, settings_.suspicionTime, actions);
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
            applyOne(now, { router, member.incarnation, MemberState::Dead, member.refutation });
    }
    for (const auto router : lost)
        suspect(now, router, settings_.suspicionTime / 2, actions);
    forgetUnlisted(actions);
    refreshLive();
}

auto SwimMembership::forgiveOwnPause(Time now) -> void
{
    const auto pause = lastTick_ ? now - *lastTick_ : Duration {};
    lastTick_ = now;
    if (pause <= longestPause)
        return;
    for (auto& [router, probe] : pending_)
        probe.sent += pause;
    members_.delay(pause);
}

auto SwimMembership::endpoint(RouterId router) const -> Endpoint
{
    const auto* const member = members_.find(router);
    return member ? member->endpoint : Endpoint {};
}

auto SwimMembership::forgetUnlisted(Actions& actions) -> void
{
    for (const auto router : members_.takeGone()) {
        pending_.erase(router);
        news_.drop(router);
        actions.emplace_back(KeepPeer { router, {} });
    }
}

auto SwimMembership::refreshLive() -> void
{
    live_.clear();
    if (!draining_ && !selfListedLeaving_)
        live_.push_back(settings_.self);
    for (const auto& [router, member] : members_) {
        if (member.isLive())
            live_.push_back(router);
    }
    std::ranges::sort(live_);
}

} // namespace camphorshunt
