#include "dutytable.h"

#include <algorithm>

namespace camphorshunt {

namespace {

constexpr auto loadPollInterval = Duration(250ms);

/** A duty that another router owns ends when no entry router has used it here for this long. */
constexpr auto orphanedDutyTimeout = Duration(3s);

/**
 * Maximum time for which a new dispatcher waits for the full demands of all live routers. Before it has
 * them it knows neither all waiting requests nor all slots in use, and would grant every slot to the
 * router whose demand arrives first.
 */
constexpr auto initialDemandTimeout = Duration(300ms);

} // namespace

DutyTable::DutyTable(RouterId self, Incarnation incarnation, std::uint64_t seed)
    : self_(self)
    , incarnation_(incarnation)
    , seed_(seed)
{
}

auto DutyTable::setDocument(const std::shared_ptr<const Document>& document) -> void
{
    const auto id = document->id;
    auto& service = services_[id];
    const auto rebuilt = service.document
        && (service.document->dispatch.policy != document->dispatch.policy
            || service.document->dispatch.shards != document->dispatch.shards);
    service.document = document;
    service.health.setDocument(*document);
    service.health.setLeaving(leavingUpstreams_);
    for (const auto& upstream : document->upstreams)
        serviceOfUpstream_[upstream.id] = id;

    if (rebuilt)
        removeDuties(id);
    for (auto& [shard, duty] : duties_) {
        if (shard.service == id)
            duty.dirty = true;
    }
}

auto DutyTable::removeDuties(ServiceId service) -> void
{
    std::erase_if(duties_, [&](const auto& entry) {
        if (entry.first.service != service)
            return false;
        requestFullDemands(entry.first, entry.second);
        return true;
    });
}

/** Without a request, routers that sent a full demand to the ended duty would keep sending changes only. */
auto DutyTable::requestFullDemands(const ShardId& shard, const Duty& duty) -> void
{
    for (const auto router : duty.syncedRouters)
        fullDemandRequests_.emplace_back(router, shard);
}

auto DutyTable::setLeavingUpstreams(std::span<const std::string> names) -> void
{
    leavingUpstreams_.assign(names.begin(), names.end());
    for (auto& [id, service] : services_)
        service.health.setLeaving(leavingUpstreams_);
    for (auto& [shard, duty] : duties_)
        duty.dirty = true;
}

auto DutyTable::acquireDuty(Time now, const ShardId& shard, Actions& actions) -> Duty*
{
    const auto found = duties_.find(shard);
    if (found != duties_.end())
        return &found->second;

    const auto service = services_.find(shard.service);
    if (service == services_.end() || shard.index >= service->second.document->dispatch.shards)
        return nullptr;

    const auto& document = *service->second.document;
    const auto incarnation = Incarnation { incarnation_.value + acquiredDuties_++ };
    const auto settings = ShardSettings { shard, incarnation, self_, document.dispatch, seed_ };
    auto dispatcher = ShardDispatcher::create(document.dispatch.policy, settings);
    if (!dispatcher) {
        actions.emplace_back(WriteLog { LogLevel::Error, "policy-unknown",
            { { "service", document.service }, { "reason", dispatcher.error().text() } } });
        return nullptr;
    }

    actions.emplace_back(WriteLog { LogLevel::Info, "duty-taken",
        { { "service", document.service }, { "shard", std::to_string(shard.index) } } });
    auto& duty = duties_[shard];
    duty.dispatcher = std::move(dispatcher).value();
    duty.incarnation = incarnation;
    duty.lastDemand = now;
    duty.acquiredAt = now;
    return &duty;
}

auto DutyTable::isReadyToGrant(Time now, Duty& duty) const -> bool
{
    duty.readyToGrant = duty.readyToGrant || now - duty.acquiredAt >= initialDemandTimeout
        || std::ranges::all_of(
            liveRouters_, [&](RouterId router) { return duty.syncedRouters.contains(router); });
    return duty.readyToGrant;
}

auto DutyTable::configure(Time now, const ShardId& shard, Duty& duty) -> void
{
    auto& service = services_.at(shard.service);
    duty.dispatcher->setUpstreams(service.health.capacities(now, shard.index));
    auto weights = std::vector<OrganisationWeight> {};
    weights.reserve(service.document->organisations.size());
    for (const auto& organisation : service.document->organisations)
        weights.push_back({ organisation.id, organisation.weight });
    duty.dispatcher->setWeights(weights);
    duty.dirty = false;
}

auto DutyTable::handle(Time now, RouterId from, const Demand& demand, Actions& actions) -> void
{
    // An entry router sends a full demand to the router that it believes to be the dispatcher. Two
    // dispatchers of one shard for a short time only impair the order of service and break no guarantee;
    // a refusal would leave the entry router without a dispatcher.
    auto* duty = static_cast<Duty*>(nullptr);
    if (demand.full)
        duty = acquireDuty(now, demand.shard, actions);
    else if (const auto found = duties_.find(demand.shard);
             found != duties_.end() && found->second.syncedRouters.contains(from))
        duty = &found->second;
    if (!duty) {
        actions.emplace_back(SendPeer { from, Grants { demand.shard, 0, {} } });
        return;
    }
    duty->syncedRouters.insert(from);

    duty->lastDemand = now;
    duty->dispatcher->apply(now, from, demand);
}

auto DutyTable::handle(Time now, RouterId from, const Ends& ends) -> void
{
    const auto found = duties_.find(ends.shard);
    if (found == duties_.end())
        return;
    auto& health = services_.at(ends.shard.service).health;
    for (const auto& end : ends.ends)
        health.recordAttemptEnd(now, end.upstream, end.result, false);
    found->second.lastDemand = now;
    found->second.dispatcher->apply(now, from, ends);
}

auto DutyTable::handle(Time now, const Totals& totals) -> void
{
    for (auto& [shard, duty] : duties_) {
        if (shard.service == totals.shard.service && shard.index != totals.shard.index)
            duty.dispatcher->apply(now, totals);
    }
}

auto DutyTable::handle(Time now, const LoadReported& load) -> void
{
    const auto service = serviceOfUpstream_.find(load.upstream);
    if (service != serviceOfUpstream_.end())
        services_[service->second].health.recordLoad(now, load);
}

auto DutyTable::handle(Time now, const LoadFailed& failed) -> void
{
    const auto service = serviceOfUpstream_.find(failed.upstream);
    if (service != serviceOfUpstream_.end())
        services_[service->second].health.recordLoadFailure(now, failed.upstream);
}

auto DutyTable::connectionLost(Time now, RouterId router) -> void
{
    for (auto& [shard, duty] : duties_)
        duty.dispatcher->connectionLost(now, router);
}

auto DutyTable::routerLost(Time now, RouterId router) -> void
{
    for (auto& [shard, duty] : duties_)
        duty.dispatcher->dropRouter(now, router);
}

auto DutyTable::handleUpstreamLeaving(Time now, ServiceId service, UpstreamId upstream) -> void
{
    const auto found = services_.find(service);
    if (found != services_.end())
        found->second.health.recordAttemptEnd(now, upstream, AttemptResult::Cancelled, true);
}

auto DutyTable::accepts(ServiceId service, UpstreamId upstream) const -> bool
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.health.accepts(upstream);
}

auto DutyTable::pollLoads(Time now, Actions& actions) -> void
{
    if (now < nextPoll_)
        return;
    nextPoll_ = now + loadPollInterval;

    for (const auto& [shard, duty] : duties_) {
        const auto& document = *services_.at(shard.service).document;
        for (const auto& upstream : document.upstreams) {
            if (document.shardOf(upstream.id) == shard.index)
                actions.emplace_back(PollLoad { upstream.id, upstream.endpoint, document.upstreamKind });
        }
    }
}

auto DutyTable::sendTotals(Time now, const std::function<RouterId(const ShardId&)>& owner, Actions& actions)
    -> void
{
    for (auto& [shard, duty] : duties_) {
        const auto shards = services_.at(shard.service).document->dispatch.shards;
        if (shards < 2)
            continue;
        auto totals = duty.dispatcher->takeTotals(now);
        if (totals.empty())
            continue;
        for (auto other = std::uint32_t {}; other < shards; ++other) {
            if (other != shard.index)
                actions.emplace_back(
                    SendPeer { owner({ shard.service, other }), Totals { shard, duty.incarnation, totals } });
        }
    }
}

auto DutyTable::tick(Time now, const std::function<RouterId(const ShardId&)>& owner, Actions& actions) -> void
{
    std::erase_if(duties_, [&](const auto& entry) {
        const auto orphaned
            = owner(entry.first) != self_ && now - entry.second.lastDemand > orphanedDutyTimeout;
        if (orphaned) {
            actions.emplace_back(WriteLog { LogLevel::Info, "duty-ended",
                { { "service", services_.at(entry.first.service).document->service },
                    { "shard", std::to_string(entry.first.index) } } });
            requestFullDemands(entry.first, entry.second);
        }
        return orphaned;
    });
    for (auto& [shard, duty] : duties_)
        duty.dispatcher->setUpstreams(services_.at(shard.service).health.capacities(now, shard.index));
    pollLoads(now, actions);
    sendTotals(now, owner, actions);
}

auto DutyTable::grant(Time now, Actions& actions) -> void
{
    for (const auto& [router, shard] : std::exchange(fullDemandRequests_, {}))
        actions.emplace_back(SendPeer { router, Grants { shard, 0, {} } });
    for (auto& [shard, duty] : duties_) {
        if (duty.dirty)
            configure(now, shard, duty);
        if (!isReadyToGrant(now, duty))
            continue;
        duty.dispatcher->grant(now, actions);
    }
}

} // namespace camphorshunt
