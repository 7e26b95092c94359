#include "membership.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <tuple>
#include <utility>

#include <boost/json.hpp>
#include <xxhash.h>

#include "newsqueue.h"

namespace camphorshunt {

namespace {

/** Most news items and document versions on one probe or ack; they bound its length. */
constexpr auto longestNews = std::size_t { 6 };
constexpr auto longestVersions = std::size_t { 8 };
/** Probes sent at once when this router starts to drain. */
constexpr auto drainFanOut = std::size_t { 16 };
/** A pause between ticks beyond this is our own, and not held against others. */
constexpr auto longestPause = Duration { 100ms };

struct Member {
    Endpoint endpoint;
    Incarnation incarnation;
    std::uint32_t refutation {};
    MemberState state = MemberState::Dead;
    bool listed {};
    bool listedLeaving {};
    bool connected {};
    /** A handshake has proved that this router exists. */
    bool proven {};
    std::optional<Time> lostAt;
    std::optional<Time> deadAt;
};

struct PendingProbe {
    std::uint64_t sequence {};
    Time sent;
    bool indirect {};
};

/** Of two claims about one run of a router, the later refutation wins, then the graver state. */
auto supersedes(const MemberNews& news, const Member& member) -> bool
{
    const auto gravity = [](MemberState state) {
        constexpr auto order = std::array { 0, 2, 3, 1 };
        return order.at(static_cast<std::size_t>(state));
    };
    return std::tuple(news.incarnation, news.refutation, gravity(news.state))
        > std::tuple(member.incarnation, member.refutation, gravity(member.state));
}

auto stateName(MemberState state) -> const char*
{
    constexpr auto names = std::array { "alive", "suspect", "dead", "draining" };
    return names.at(static_cast<std::size_t>(state));
}

auto weightOf(const ShardId& shard, RouterId router) -> std::uint64_t
{
    const auto key = std::array { shard.service.value, std::uint64_t { shard.index }, router.value };
    return XXH64(key.data(), sizeof(key), 0);
}

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
    auto owner(const ShardId& shard) const -> RouterId override;
    auto takeChanges() -> std::vector<MemberChange> override { return std::exchange(changes_, {}); }
    auto status(Time now) const -> std::string override;

private:
    auto selfNews() const -> MemberNews;
    auto newsOf(RouterId router) const -> std::optional<MemberNews>;
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
    std::map<RouterId, Member> members_;
    std::map<RouterId, PendingProbe> pending_;
    NewsQueue news_;
    std::vector<DocumentVersion> versions_;
    std::size_t nextVersion_ {};
    std::vector<RouterId> order_;
    std::vector<RouterId> live_;
    std::vector<MemberChange> changes_;
    std::uint64_t sequence_ {};
    std::uint32_t refutation_ {};
    bool draining_ {};
    bool selfListedLeaving_ {};
    std::optional<Time> nextProbe_;
    std::optional<Time> lastTick_;
};

auto SwimMembership::handle(Time now, const VmsListed& listed, Actions& actions) -> void
{
    for (auto& [router, member] : members_)
        member.listed = false;
    selfListedLeaving_ = false;

    for (const auto& vm : listed.vms) {
        if (vm.role != VmRole::Router)
            continue;
        const auto router = idOf<RouterId>(vm.name);
        if (router == settings_.self) {
            selfListedLeaving_ = vm.leaving;
            continue;
        }
        auto& member = members_[router];
        if (member.endpoint != vm.endpoint)
            actions.emplace_back(KeepPeer { router, vm.endpoint });
        member.endpoint = vm.endpoint;
        member.listed = true;
        member.listedLeaving = vm.leaving;
    }
    forgetUnlisted(actions);
    refreshLive();
}

auto SwimMembership::handle(Time now, const PeerConnected& connected, Actions& actions) -> void
{
    auto& member = members_[connected.router];
    member.connected = true;
    member.proven = true;
    member.lostAt.reset();
    applyOne(now, { connected.router, connected.incarnation, MemberState::Alive, 0 });
    refreshLive();
    sendProbe(now, connected.router, actions);
}

auto SwimMembership::handle(Time now, const PeerDisconnected& disconnected, Actions& actions) -> void
{
    const auto found = members_.find(disconnected.router);
    if (found == members_.end())
        return;
    found->second.connected = false;
    if (found->second.state == MemberState::Dead) {
        forgetUnlisted(actions);
        return;
    }
    found->second.lostAt = now;
    auto& pending = pending_[disconnected.router];
    pending = { ++sequence_, now, true };
    sendIndirect(disconnected.router, pending.sequence, actions);
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
        if (const auto news = newsOf(ack.target))
            relayed.news.push_back(*news);
        if (ack.target == from && members_.contains(ack.relayFor))
            send(ack.relayFor, std::move(relayed), actions);
        return;
    }
    const auto pending = pending_.find(ack.target);
    if (pending == pending_.end() || pending->second.sequence != ack.sequence)
        return;
    pending_.erase(pending);
    if (const auto found = members_.find(ack.target); found != members_.end())
        found->second.lostAt.reset();
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
    const auto listed = std::ranges::count_if(
        members_, [](const auto& entry) { return entry.second.listed && !entry.second.listedLeaving; });
    return static_cast<std::size_t>(listed) + (selfListedLeaving_ ? 0 : 1);
}

auto SwimMembership::state(RouterId router) const -> MemberState
{
    if (router == settings_.self)
        return selfNews().state;
    const auto found = members_.find(router);
    return found == members_.end() ? MemberState::Dead : found->second.state;
}

auto SwimMembership::owner(const ShardId& shard) const -> RouterId
{
    if (live_.empty())
        return settings_.self;
    return *std::ranges::max_element(
        live_, {}, [&shard](RouterId router) { return std::pair(weightOf(shard, router), router); });
}

auto SwimMembership::status(Time now) const -> std::string
{
    auto members = boost::json::array {};
    for (const auto& [router, member] : members_) {
        members.push_back({ { "router", router.value }, { "state", stateName(member.state) },
            { "endpoint", member.endpoint.text() }, { "incarnation", member.incarnation.value },
            { "listed", member.listed }, { "leaving", member.listedLeaving },
            { "connected", member.connected } });
    }
    return boost::json::serialize(boost::json::object { { "self", settings_.name },
        { "router", settings_.self.value }, { "state", stateName(selfNews().state) },
        { "live", live_.size() }, { "expected", expected() }, { "members", std::move(members) } });
}

auto SwimMembership::selfNews() const -> MemberNews
{
    const auto state = draining_ ? MemberState::Draining : MemberState::Alive;
    return { settings_.self, settings_.incarnation, state, refutation_ };
}

auto SwimMembership::newsOf(RouterId router) const -> std::optional<MemberNews>
{
    const auto found = members_.find(router);
    if (found == members_.end() || found->second.incarnation.value == 0)
        return std::nullopt;
    const auto& member = found->second;
    return MemberNews { router, member.incarnation, member.state, member.refutation };
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
    const auto found = members_.find(news.router);
    // A router that is neither listed nor connected cannot be reached; its news is of no use here.
    if (found == members_.end() || !supersedes(news, found->second))
        return;

    auto& member = found->second;
    const auto changed = member.state != news.state || member.incarnation != news.incarnation;
    member.incarnation = news.incarnation;
    member.refutation = news.refutation;
    member.state = news.state;
    member.deadAt.reset();
    if (news.state == MemberState::Suspect)
        member.deadAt = now + settings_.suspicionTime;
    if (news.state == MemberState::Dead)
        pending_.erase(news.router);
    if (changed)
        changes_.push_back({ news.router, news.incarnation, news.state });
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
    auto& member = members_.at(router);
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
        if (const auto news = newsOf(target))
            probe.news.push_back(*news);
        send(helper, std::move(probe), actions);
    }
}

template <typename Message> auto SwimMembership::send(RouterId to, Message message, Actions& actions) -> void
{
    // What is believed of the receiver comes first, so that it can contradict.
    const auto belief = newsOf(to);
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
        const auto found = members_.find(router);
        if (found == members_.end() || pending_.contains(router))
            continue;
        if (found->second.state == MemberState::Dead && !found->second.connected)
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
    for (auto& [router, member] : members_) {
        if (member.deadAt)
            *member.deadAt += pause;
        if (member.lostAt)
            *member.lostAt += pause;
    }
}

auto SwimMembership::forgetUnlisted(Actions& actions) -> void
{
    std::erase_if(members_, [&](const auto& entry) {
        const auto& [router, member] = entry;
        const auto gone = !member.listed && !member.connected && member.state == MemberState::Dead;
        if (gone) {
            pending_.erase(router);
            news_.drop(router);
            actions.emplace_back(KeepPeer { router, {} });
        }
        return gone;
    });
}

auto SwimMembership::refreshLive() -> void
{
    live_.clear();
    if (!draining_ && !selfListedLeaving_)
        live_.push_back(settings_.self);
    for (const auto& [router, member] : members_) {
        const auto answers = member.state == MemberState::Alive || member.state == MemberState::Suspect;
        if (answers && !member.listedLeaving && (member.listed || member.proven))
            live_.push_back(router);
    }
    std::ranges::sort(live_);
}

} // namespace

auto Membership::create(const MembershipSettings& settings) -> std::unique_ptr<Membership>
{
    return std::make_unique<SwimMembership>(settings);
}

} // namespace camphorshunt
