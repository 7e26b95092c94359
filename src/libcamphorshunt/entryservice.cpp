#include "entryservice.h"

#include <algorithm>
#include <utility>

namespace camphorshunt {

namespace {

/** Once the dispatcher has been unreachable for this long, the router admits requests locally. */
constexpr auto dispatcherTimeout = Duration(300ms);

/**
 * Minimum interval between full demands to a dispatcher that keeps requesting them because it does not have
 * the document yet.
 */
constexpr auto minResyncInterval = Duration(100ms);

/**
 * Minimum interval between demand reports if every changed entry already has reported requests waiting: the
 * dispatcher can go on granting without the update.
 */
constexpr auto minDemandInterval = Duration(40ms);

/** Streamed units are reported once they exceed the last report by at least this many. */
constexpr auto minReportedCharge = 64.0;

/** Marks the id of a grant that a router has issued to itself. */
constexpr auto localGrantBit = std::uint64_t { 1 } << 63U;

} // namespace

EntryService::EntryService(RouterId self, ServiceId service, Incarnation incarnation)
    : self_(self)
    , service_(service)
    , incarnation_(incarnation)
{
}

auto EntryService::setDocument(std::shared_ptr<const Document> document) -> void
{
    document_ = std::move(document);
    queue_.setLimits(document_->limits.queuePerOrganisation, document_->limits.queueTotal);
}

auto EntryService::setOwners(Time now, std::span<const RouterId> owners) -> void
{
    links_.resize(owners.size());
    for (auto shard = std::size_t {}; shard < owners.size(); ++shard) {
        auto& link = links_[shard];
        if (link.owner == owners[shard])
            continue;
        link.owner = owners[shard];
        link.ends.clear();
        link.charges.clear();
        resync(now, link);
    }
}

auto EntryService::peerConnected(Time now, RouterId router, bool newIncarnation) -> void
{
    peers_.insert(router);
    for (auto& link : links_) {
        if (newIncarnation)
            link.grantsSeen.erase(router);
        if (link.owner == router)
            resync(now, link);
    }
}

auto EntryService::peerDisconnected(Time now, RouterId router) -> void
{
    peers_.erase(router);
    for (auto& link : links_) {
        if (link.owner == router)
            resync(now, link);
    }
}

auto EntryService::isReachable(RouterId router) const -> bool
{
    return router == self_ || peers_.contains(router);
}

auto EntryService::resync(Time now, Link& link) -> void
{
    link.synced = false;
    link.fullDemandAt.reset();
    link.silentSince = now;
}

auto EntryService::linkOf(std::uint32_t shard) -> Link*
{
    return shard < links_.size() ? &links_[shard] : nullptr;
}

auto EntryService::assignWaiting(Time now, std::vector<Assignment>& assignments, Slot slot) -> bool
{
    const auto request = queue_.pop(slot.held.organisation, slot.held.requestClass);
    if (!request)
        return false;
    if (const auto reported = reported_.find({ slot.held.organisation, slot.held.requestClass });
        reported != reported_.end() && reported->second > 0)
        --reported->second;
    assignments.push_back({ *request, slot.held.grant, slot.held.upstream });
    const auto& [grant, organisation, requestClass, upstream, units] = slot.held;
    waitEstimator_.recordDequeue(now, organisation, requestClass, queue_.waiting(organisation, requestClass));
    held_.insert_or_assign(slot.held.grant, slot);
    return true;
}

auto EntryService::applyGrants(
    Time now, RouterId from, const Grants& grants, std::vector<Assignment>& assignments) -> void
{
    auto* const link = linkOf(grants.shard.index);
    if (!link)
        return;
    if (grants.sequence == 0 && link->owner == from)
        link->synced = false;
    if (grants.sequence <= link->grantsSeen[from])
        return;

    link->grantsSeen[from] = grants.sequence;
    if (link->owner != from) {
        for (const auto& grant : grants.grants)
            link->orphanedGrants.emplace_back(
                from, SlotEnd { grant.id, grant.organisation, grant.upstream, 0.0, true, {} });
        return;
    }

    link->silentSince = now;
    for (const auto& grant : grants.grants) {
        const auto held = HeldSlot { grant.id, grant.organisation, grant.requestClass, grant.upstream, 0.0 };
        if (!document_->upstream(grant.upstream)
            || !assignWaiting(now, assignments, { grants.shard.index, held, 0.0, false }))
            link->ends.push_back({ grant.id, grant.organisation, grant.upstream, 0.0, true, {} });
    }
}

auto EntryService::expectedWait(OrganisationId organisation, RequestClass requestClass) const
    -> std::optional<Duration>
{
    return waitEstimator_.estimate(organisation, requestClass, queue_.waiting(organisation, requestClass));
}

auto EntryService::heldSlotsAt(UpstreamId upstream) const -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        held_, [upstream](const auto& entry) { return entry.second.held.upstream == upstream; }));
}

/** Organisations are served in round-robin order, interactive requests first; entries are sorted by both. */
auto EntryService::chooseLocal() -> DemandEntry
{
    const auto waiting = queue_.waitingEntries();
    const auto rank = [this](const DemandEntry& entry) {
        return std::pair(entry.requestClass, entry.organisation <= lastLocalOrganisation_);
    };
    const auto next = *std::ranges::min_element(waiting, {}, rank);
    lastLocalOrganisation_ = next.organisation;
    return next;
}

auto EntryService::admitLocally(Time now, std::vector<Assignment>& assignments) -> void
{
    if (!document_ || queue_.empty())
        return;

    for (const auto& upstream : document_->upstreams) {
        const auto shard = document_->shardOf(upstream.id);
        const auto* const link = linkOf(shard);
        if (!link || isReachable(link->owner) || now - link->silentSince < dispatcherTimeout
            || upstream.leaving)
            continue;

        const auto fraction = std::max<std::size_t>(1, upstream.slots / std::max<std::size_t>(1, routers_));
        for (auto used = heldSlotsAt(upstream.id); used < fraction && !queue_.empty(); ++used) {
            const auto entry = chooseLocal();
            const auto id
                = GrantId { localGrantBit | ((incarnation_.value & 0x7fffffffU) << 32U) | ++localGrants_ };
            assignWaiting(now, assignments,
                { shard, { id, entry.organisation, entry.requestClass, upstream.id, 0.0 }, 0.0, true });
        }
    }
}

auto EntryService::charge(GrantId grant, double units) -> void
{
    const auto found = held_.find(grant);
    if (found == held_.end())
        return;

    auto& slot = found->second;
    slot.held.chargedUnits = units;
    if (units - slot.reportedUnits < minReportedCharge)
        return;
    slot.reportedUnits = units;
    if (auto* const link = linkOf(slot.shard))
        link->charges.push_back({ grant, units });
}

auto EntryService::release(GrantId grant, double units, bool unused, AttemptResult result) -> void
{
    const auto found = held_.find(grant);
    if (found == held_.end())
        return;

    const auto& slot = found->second;
    if (auto* const link = linkOf(slot.shard))
        link->ends.push_back({ grant, slot.held.organisation, slot.held.upstream, units, unused, result });
    held_.erase(found);
}

auto EntryService::fullDemand(std::uint32_t shard) const -> Demand
{
    auto demand = Demand {};
    demand.shard = { service_, shard };
    demand.full = true;
    const auto& seen = links_[shard].grantsSeen;
    const auto last = seen.find(links_[shard].owner);
    demand.grantsSeen = last == seen.end() ? 0 : last->second;
    demand.entries = queue_.waitingEntries();
    for (const auto& [grant, slot] : held_) {
        if (slot.shard == shard)
            demand.held.push_back(slot.held);
    }
    // The iteration order of a hash map differs between processes, but a replay must send the same message.
    std::ranges::sort(demand.held, {}, &HeldSlot::grant);
    return demand;
}

auto EntryService::returnOrphanedGrants(std::uint32_t shard, Actions& actions) -> void
{
    for (const auto& [router, end] : std::exchange(links_[shard].orphanedGrants, {}))
        actions.emplace_back(SendPeer { router, Ends { { service_, shard }, { end }, {} } });
}

auto EntryService::flushShard(
    Time now, std::uint32_t shard, std::span<const DemandEntry> changes, Actions& actions) -> void
{
    auto& link = links_[shard];
    returnOrphanedGrants(shard, actions);
    if (!isReachable(link.owner))
        return;

    if (!link.synced) {
        if (link.fullDemandAt && now - *link.fullDemandAt < minResyncInterval)
            return;
        link.fullDemandAt = now;
        link.synced = true;
        actions.emplace_back(SendPeer { link.owner, fullDemand(shard) });
    } else if (!changes.empty()) {
        auto demand = Demand { { service_, shard }, false, link.grantsSeen[link.owner], {}, {} };
        demand.entries.assign(changes.begin(), changes.end());
        actions.emplace_back(SendPeer { link.owner, std::move(demand) });
    }
    // Ends are sent after the demand: by then the request that follows an ended one is reported as waiting,
    // and its organisation does not appear idle.
    if (!link.ends.empty() || !link.charges.empty()) {
        auto ends
            = Ends { { service_, shard }, std::exchange(link.ends, {}), std::exchange(link.charges, {}) };
        actions.emplace_back(SendPeer { link.owner, std::move(ends) });
    }
}

auto EntryService::takeDueChanges(Time now) -> std::vector<DemandEntry>
{
    for (const auto& entry : queue_.takeChanges())
        unreported_.insert_or_assign({ entry.organisation, entry.requestClass }, entry);
    const auto isNewBacklog = [this](const auto& change) {
        const auto found = reported_.find(change.first);
        return change.second.waiting > 0 && (found == reported_.end() || found->second == 0);
    };
    const auto due = !demandReportedAt_ || now - *demandReportedAt_ >= minDemandInterval || ownsEveryShard();
    auto changes = std::vector<DemandEntry> {};
    if (!due && std::ranges::none_of(unreported_, isNewBacklog))
        return changes;

    for (const auto& [key, entry] : unreported_) {
        changes.push_back(entry);
        reported_[key] = entry.waiting;
        if (entry.waiting == 0)
            reported_.erase(key);
    }
    unreported_.clear();
    if (!changes.empty())
        demandReportedAt_ = now;
    return changes;
}

auto EntryService::flush(Time now, Actions& actions) -> void
{
    const auto changes = takeDueChanges(now);
    for (auto shard = std::uint32_t {}; shard < links_.size(); ++shard)
        flushShard(now, shard, changes, actions);
}

auto EntryService::ownsEveryShard() const -> bool
{
    return std::ranges::all_of(links_, [this](const auto& link) { return link.owner == self_; });
}

} // namespace camphorshunt
