#include "coreimpl.h"

#include <algorithm>
#include <utility>

namespace camphorshunt {

namespace {

/** Updates for other routers within this time after a flush are batched into a later flush. */
constexpr auto flushSpacing = Duration(5ms);

/** Maximum time after the start of a drain that abandons and settles of claims may delay the exit. */
constexpr auto maxClaimsDrain = Duration(30s);

template <typename Part> auto makePartSettings(const CoreSettings& settings) -> Part
{
    auto part = Part {};
    part.router = idOf<RouterId>(settings.name);
    part.incarnation = settings.incarnation;
    part.seed = settings.seed;
    return part;
}

auto makeMembershipSettings(const CoreSettings& settings) -> MembershipSettings
{
    auto part = MembershipSettings {};
    part.self = idOf<RouterId>(settings.name);
    part.incarnation = settings.incarnation;
    part.name = settings.name;
    part.seed = settings.seed;
    return part;
}

auto makeClaimsSettings(const CoreSettings& settings) -> ClaimsManagerSettings
{
    auto part = makePartSettings<ClaimsManagerSettings>(settings);
    part.wallOffset = settings.wallOffset;
    return part;
}

} // namespace

auto Core::create(const CoreSettings& settings) -> Result<std::unique_ptr<Core>>
{
    if (settings.name.empty())
        return failure(Error::Code::Invalid, "name", "must not be empty");
    return std::unique_ptr<Core>(std::make_unique<CoreImpl>(settings));
}

CoreImpl::CoreImpl(const CoreSettings& settings)
    : settings_(settings)
    , self_(idOf<RouterId>(settings.name))
    , membership_(Membership::create(makeMembershipSettings(settings)))
    , documents_(DocumentManager::create(makePartSettings<DocumentManagerSettings>(settings)))
    , claims_(ClaimsManager::create(makeClaimsSettings(settings)))
    , duties_(self_, settings.incarnation, settings.seed)
    , flow_(self_, settings.incarnation, *claims_, duties_)
{
}

auto CoreImpl::handle(Time now, const Event& event, Actions& actions) -> void
{
    const auto begin = actions.size();
    std::visit([&](const auto& value) { apply(now, value, actions); }, event);
    applyEffects(now, actions, begin);
}

/** Applies all effects of an event, messages to this router itself included, before the next event. */
auto CoreImpl::applyEffects(Time now, Actions& actions, std::size_t begin) -> void
{
    applyDocuments(actions);
    applyMembers(now, actions);
    if (ownersStale_)
        updateOwners(now);
    flow_.advance(now, actions);
    do {
        flush(now, actions);
        while (deliverToSelf(now, actions, begin)) { }
        duties_.grant(now, actions);
    } while (deliverToSelf(now, actions, begin));
    updateReadiness(actions);
    exitIfDrained(now, actions);
}

auto CoreImpl::deliverToSelf(Time now, Actions& actions, std::size_t begin) -> bool
{
    auto own = std::vector<PeerMessage> {};
    const auto isForSelf = [this](const Action& action) {
        const auto* const send = std::get_if<SendPeer>(&action);
        return send && send->router == self_;
    };
    auto kept = actions.begin() + static_cast<std::ptrdiff_t>(begin);
    for (auto action = kept; action != actions.end(); ++action) {
        if (isForSelf(*action)) {
            own.push_back(std::move(std::get<SendPeer>(*action).message));
            continue;
        }
        if (kept != action)
            *kept = std::move(*action);
        ++kept;
    }
    actions.erase(kept, actions.end());

    for (const auto& message : own)
        std::visit([&](const auto& value) { receive(now, self_, value, actions); }, message);
    return !own.empty();
}

auto CoreImpl::flush(Time now, Actions& actions) -> void
{
    const auto due = now - lastFlush_ >= flushSpacing;
    auto sent = false;
    for (auto& [id, entry] : flow_.entries()) {
        if (!due && !entry.ownsEveryShard())
            continue;
        const auto before = actions.size();
        entry.flush(now, actions);
        sent = sent || actions.size() != before;
    }
    if (due && sent)
        lastFlush_ = now;
}

auto CoreImpl::applyDocuments(Actions& actions) -> void
{
    const auto changed = documents_->takeChanged();
    for (const auto service : changed) {
        const auto document = documents_->document(service);
        flow_.setDocument(document);
        duties_.setDocument(document);
        actions.emplace_back(
            WriteLog { LogLevel::Info, "document-in-force", { { "service", document->service } } });
        ownersStale_ = true;
    }
    if (!changed.empty())
        membership_->setVersions(documents_->versions());
}

auto CoreImpl::applyMembers(Time now, Actions& actions) -> void
{
    for (const auto& change : membership_->takeChanges()) {
        if (change.state == MemberState::Dead) {
            duties_.routerLost(now, change.router);
            // If the router was paused and resumes, only a new connection makes both sides start from a
            // full demand.
            actions.emplace_back(KeepPeer { change.router, {} });
            actions.emplace_back(KeepPeer { change.router, membership_->endpoint(change.router) });
        }
        ownersStale_ = true;
    }
}

auto CoreImpl::updateOwners(Time now) -> void
{
    ownersStale_ = false;
    duties_.setLiveRouters(membership_->liveRouters());
    for (auto& [id, entry] : flow_.entries()) {
        auto owners = std::vector<RouterId> {};
        for (auto shard = std::uint32_t {}; shard < entry.document()->dispatch.shards; ++shard)
            owners.push_back(membership_->owner({ id, shard }));
        entry.setOwners(now, owners);
        entry.setRouters(membership_->expectedCount());
    }
}

auto CoreImpl::updateReadiness(Actions& actions) -> void
{
    const auto ready = !draining_ && !flow_.entries().empty();
    if (ready == ready_)
        return;
    ready_ = ready;
    actions.emplace_back(SetReady { ready });
}

auto CoreImpl::exitIfDrained(Time now, Actions& actions) -> void
{
    if (!draining_ || exited_ || !flow_.isEmpty())
        return;
    if (claims_->hasUnwritten() && now - drainBegan_ < maxClaimsDrain)
        return;
    exited_ = true;
    actions.emplace_back(WriteLog { LogLevel::Info, "drained", {} });
    actions.emplace_back(Exit {});
}

auto CoreImpl::apply(Time now, const RequestArrived& arrived, Actions& actions) -> void
{
    flow_.handle(now, arrived, actions);
}

auto CoreImpl::apply(Time now, const CallerGone& gone, Actions& actions) -> void
{
    flow_.handle(now, gone, actions);
}

auto CoreImpl::apply(Time now, const AttemptProgress& progress, Actions& actions) -> void
{
    flow_.handle(now, progress);
}

auto CoreImpl::apply(Time now, const AttemptEnded& ended, Actions& actions) -> void
{
    flow_.handle(now, ended, actions);
}

auto CoreImpl::apply(Time now, const LoadReported& load, Actions& actions) -> void
{
    duties_.handle(now, load);
}

auto CoreImpl::apply(Time now, const LoadFailed& failed, Actions& actions) -> void
{
    duties_.handle(now, failed);
}

auto CoreImpl::apply(Time now, const PeerConnected& connected, Actions& actions) -> void
{
    membership_->handle(now, connected, actions);
    const auto newIncarnation
        = std::exchange(peers_[connected.router], connected.incarnation) != connected.incarnation;
    if (newIncarnation)
        duties_.routerLost(now, connected.router);
    flow_.peerConnected(now, connected.router, newIncarnation);
    claims_->peerConnected(now, connected.router, actions);
}

auto CoreImpl::apply(Time now, const PeerDisconnected& disconnected, Actions& actions) -> void
{
    membership_->handle(now, disconnected, actions);
    duties_.connectionLost(now, disconnected.router);
    flow_.peerDisconnected(now, disconnected.router);
}

auto CoreImpl::apply(Time now, const PeerReceived& received, Actions& actions) -> void
{
    std::visit(
        [&](const auto& message) { receive(now, received.router, message, actions); }, received.message);
}

auto CoreImpl::apply(Time now, const LogRead& read, Actions& actions) -> void
{
    documents_->handle(now, read, actions);
    claims_->handle(now, read, actions);
}

auto CoreImpl::apply(Time now, const LogUnavailable& unavailable, Actions& actions) -> void
{
    documents_->handle(now, unavailable, actions);
    claims_->handle(now, unavailable, actions);
}

auto CoreImpl::apply(Time now, const AppendEnded& ended, Actions& actions) -> void
{
    documents_->handle(now, ended, actions);
    claims_->handle(now, ended, actions);
}

auto CoreImpl::apply(Time now, const VmsListed& listed, Actions& actions) -> void
{
    membership_->handle(now, listed, actions);
    auto leaving = std::vector<std::string> {};
    for (const auto& vm : listed.vms) {
        if (vm.role == VmRole::Upstream && vm.leaving)
            leaving.push_back(vm.name);
    }
    duties_.setLeavingUpstreams(leaving);
    ownersStale_ = true;
}

auto CoreImpl::apply(Time now, const VmListUnavailable& unavailable, Actions& actions) -> void { }

auto CoreImpl::apply(Time now, const DrainRequested& drain, Actions& actions) -> void
{
    if (draining_)
        return;
    draining_ = true;
    drainBegan_ = now;
    flow_.drain();
    membership_->drain(now, actions);
    ownersStale_ = true;
    actions.emplace_back(WriteLog {
        LogLevel::Info, "drain-begins", { { "requests", std::to_string(flow_.activeRequests()) } } });
}

auto CoreImpl::apply(Time now, const Tick& tick, Actions& actions) -> void
{
    membership_->tick(now, actions);
    documents_->tick(now, actions);
    claims_->tick(now, membership_->liveRouters().size(), actions);
    duties_.tick(
        now, [this](const ShardId& shard) { return membership_->owner(shard); }, actions);
}

auto CoreImpl::receive(Time now, RouterId from, const Demand& demand, Actions& actions) -> void
{
    duties_.handle(now, from, demand, actions);
}

auto CoreImpl::receive(Time now, RouterId from, const Grants& grants, Actions& actions) -> void
{
    flow_.handle(now, from, grants, actions);
}

auto CoreImpl::receive(Time now, RouterId from, const Ends& ends, Actions& actions) -> void
{
    duties_.handle(now, from, ends);
}

auto CoreImpl::receive(Time now, RouterId from, const Totals& totals, Actions& actions) -> void
{
    duties_.handle(now, totals);
}

auto CoreImpl::receive(Time now, RouterId from, const Probe& probe, Actions& actions) -> void
{
    membership_->handle(now, from, probe, actions);
    documents_->handlePeerVersions(now, from, probe.versions, actions);
}

auto CoreImpl::receive(Time now, RouterId from, const ProbeAck& ack, Actions& actions) -> void
{
    membership_->handle(now, from, ack, actions);
    documents_->handlePeerVersions(now, from, ack.versions, actions);
}

auto CoreImpl::receive(Time now, RouterId from, const DocumentRequest& request, Actions& actions) -> void
{
    documents_->handle(now, from, request, actions);
}

auto CoreImpl::receive(Time now, RouterId from, const DocumentTransfer& transfer, Actions& actions) -> void
{
    documents_->handle(now, transfer, actions);
}

auto CoreImpl::receive(Time now, RouterId from, const ClaimsRequest& request, Actions& actions) -> void
{
    claims_->handle(now, from, request, actions);
}

auto CoreImpl::receive(Time now, RouterId from, const ClaimsTransfer& transfer, Actions& actions) -> void
{
    claims_->handle(now, transfer, actions);
}

} // namespace camphorshunt
