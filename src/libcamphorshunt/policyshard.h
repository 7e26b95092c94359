#pragma once

#include <array>
#include <memory>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include "dispatchpolicy.h"
#include "routerledger.h"
#include "sharddispatcher.h"
#include "slottable.h"

namespace camphorshunt {

/** The first grant id of a dispatcher's incarnation; the upper 32 bits distinguish incarnations. */
auto firstGrantId(const ShardSettings& settings, Time started) -> GrantId;

/** Slots of one shard that deferrable requests may use: all but the reserved ones, and at least one. */
auto deferrableLimit(std::uint32_t slots, std::uint32_t reserved) -> std::uint32_t;

/** Counts demand and slots for any policy; the policy chooses whose request is granted the next slot. */
template <DispatchPolicy Policy> class PolicyShard final : public ShardDispatcher {
public:
    template <typename... PolicyArguments>
    explicit PolicyShard(const ShardSettings& settings, PolicyArguments&&... arguments)
        : settings_(settings)
        , policy_(settings.dispatch, settings.dispatcher, std::forward<PolicyArguments>(arguments)...)
    {
    }

    auto setUpstreams(std::span<const UpstreamCapacity> upstreams) -> void override
    {
        slots_.setUpstreams(upstreams);
    }

    auto setWeights(std::span<const OrganisationWeight> weights) -> void override
    {
        for (const auto& [organisation, weight] : weights)
            policy_.setWeight(organisation, weight);
    }

    auto apply(Time now, RouterId from, const Demand& demand) -> void override
    {
        auto& ledger = ledgerOf(now, from);
        if (ledger.disconnected && !demand.full)
            return;
        // A number that this dispatcher has not reached yet is from an earlier one: the router has ignored
        // all grants of this one, as their numbers were not new to it.
        if (demand.full && demand.grantsSeen > ledger.sequence()) {
            ledger.dropUnacknowledged();
            for (auto position = ledger.slots().begin(); position != ledger.slots().end();)
                position = release(ledger, position);
            ledger.continueSequenceFrom(demand.grantsSeen);
        }
        const auto seen = demand.grantsSeen <= ledger.sequence() ? demand.grantsSeen : 0;
        ledger.acknowledge(seen);
        auto withdrawn = std::vector<DemandKey> {};
        if (demand.full) {
            withdrawn = ledger.clearDemand();
            reconcile(ledger, from, demand.held, seen);
        }
        // New counts are set before the other keys are cleared, so that no organisation appears idle in
        // between.
        for (const auto& entry : demand.entries) {
            ledger.setDemand(entry);
            updateWaiting(
                ledger, DemandKey { from, entry.organisation, entry.requestClass }, entry.headUnits);
        }
        clearWaiting(ledger, withdrawn);
    }

    auto apply(Time now, RouterId from, const Ends& ends) -> void override
    {
        auto& ledger = ledgerOf(now, from);
        for (const auto& [grant, totalUnits] : ends.charges) {
            const auto found = ledger.slots().find(grant);
            if (found != ledger.slots().end())
                progress(found->second, totalUnits);
        }
        for (const auto& end : ends.ends) {
            const auto found = ledger.slots().find(end.grant);
            if (found == ledger.slots().end()) {
                ++ignoredEnds_;
                continue;
            }
            if (!end.unused)
                progress(found->second, end.totalUnits);
            release(ledger, found);
        }
    }

    auto apply(Time now, const Totals& totals) -> void override
    {
        if (totals.shard != settings_.shard)
            policy_.apply(totals);
    }

    auto connectionLost(Time now, RouterId router) -> void override
    {
        const auto found = ledgers_.find(router);
        if (found == ledgers_.end())
            return;
        found->second.disconnected = true;
        clearWaiting(found->second, found->second.clearDemand());
    }

    auto dropRouter(Time now, RouterId router) -> void override
    {
        const auto found = ledgers_.find(router);
        if (found == ledgers_.end())
            return;
        connectionLost(now, router);
        auto& ledger = found->second;
        ledger.dropUnacknowledged();
        for (auto position = ledger.slots().begin(); position != ledger.slots().end();) {
            position = release(ledger, position);
        }
    }

    auto grant(Time now, Actions& actions) -> void override
    {
        for (auto& [router, ledger] : ledgers_) {
            if (!ledger.disconnected && !std::exchange(ledger.fullDemandRequested, true))
                actions.emplace_back(SendPeer { router, Grants { settings_.shard, 0, {} } });
        }
        auto batches = absl::btree_map<RouterId, std::vector<Grant>> {};
        while (const auto upstream = slots_.leastUsed()) {
            const auto choice = policy_.choose(deferrableUsed_ < deferrableCap());
            if (!choice)
                break;
            batches[choice->router].push_back(createGrant(*choice, *upstream));
        }
        for (auto& [router, grants] : batches) {
            const auto sequence = ledgers_.at(router).advanceSequence();
            actions.emplace_back(
                SendPeer { router, Grants { settings_.shard, sequence, std::move(grants) } });
        }
    }

    auto takeTotals(Time now) -> std::vector<ServiceTotal> override { return policy_.takeTotals(); }

    auto status() const -> ShardStatus override
    {
        auto status = ShardStatus {};
        status.slots = slots_.slots();
        status.used = slots_.used();
        status.waiting = waiting_[0] + waiting_[1];
        status.usedDeferrable = deferrableUsed_;
        status.waitingDeferrable = waiting_[1];
        status.organisations = static_cast<std::uint32_t>(policy_.backloggedOrganisations());
        status.granted = granted_;
        status.ignoredEnds = ignoredEnds_;
        return status;
    }

private:
    using Slots = RouterLedger::Slots;

    auto ledgerOf(Time now, RouterId router) -> RouterLedger&
    {
        if (ledgers_.empty())
            nextGrant_ = firstGrantId(settings_, now);
        return ledgers_.try_emplace(router, router).first->second;
    }

    auto waitingOf(RequestClass requestClass) -> std::uint32_t&
    {
        return waiting_[requestClass == RequestClass::Deferrable ? 1 : 0];
    }

    auto deferrableCap() const -> std::uint32_t
    {
        return deferrableLimit(slots_.slots(), settings_.dispatch.reservedSlots);
    }

    auto updateWaiting(RouterLedger& ledger, const DemandKey& key, std::uint32_t headUnits) -> void
    {
        const auto waiting = ledger.waiting(key);
        auto& policyWaiting = policyWaiting_[key];
        waitingOf(key.requestClass) += waiting - policyWaiting;
        policyWaiting = waiting;
        if (waiting == 0)
            policyWaiting_.erase(key);
        policy_.setWaiting(key, waiting, headUnits);
    }

    /** Sets the waiting count of these keys to zero in the policy, except those that have been set again. */
    auto clearWaiting(RouterLedger& ledger, const std::vector<DemandKey>& keys) -> void
    {
        for (const auto& key : keys) {
            if (ledger.waiting(key) == 0)
                updateWaiting(ledger, key, 0);
        }
    }

    /** Releases and adopts slots until they match those that the router holds. */
    auto reconcile(
        RouterLedger& ledger, RouterId from, std::span<const HeldSlot> heldSlots, std::uint64_t seen) -> void
    {
        // Frames of one connection keep their order. After a lost connection, grants that the router has not
        // seen were lost with it; on a connection that is still open they are in flight.
        const auto firstInFlight = ledger.disconnected ? ledger.nextSequence() : seen + 1;
        if (std::exchange(ledger.disconnected, false))
            ledger.dropUnacknowledged();
        ledger.fullDemandRequested = true;

        auto held = absl::flat_hash_set<GrantId> {};
        for (const auto& slot : heldSlots)
            held.insert(slot.grant);
        for (auto position = ledger.slots().begin(); position != ledger.slots().end();) {
            const auto& slot = position->second;
            if (held.contains(position->first) || slot.sequence >= firstInFlight) {
                ++position;
                continue;
            }
            position = release(ledger, position);
        }
        for (const auto& slot : heldSlots)
            adoptHeld(ledger, from, slot);
    }

    auto adoptHeld(RouterLedger& ledger, RouterId router, const HeldSlot& held) -> void
    {
        if (const auto found = ledger.slots().find(held.grant); found != ledger.slots().end()) {
            progress(found->second, held.chargedUnits);
            return;
        }
        ledger.addHeld(held);
        policy_.adoptRequest(DemandKey { router, held.organisation, held.requestClass });
        occupy(held.requestClass, held.upstream);
    }

    auto createGrant(const DemandKey& key, UpstreamId upstream) -> Grant
    {
        auto& ledger = ledgers_.at(key.router);
        while (ledger.slots().contains(nextGrant_))
            ++nextGrant_.value;
        const auto id = nextGrant_;
        ++nextGrant_.value;
        ledger.addGrant(id, OutstandingGrant { key, upstream, ledger.nextSequence(), 0.0 });
        occupy(key.requestClass, upstream);
        if (--policyWaiting_[key] == 0)
            policyWaiting_.erase(key);
        --waitingOf(key.requestClass);
        ++granted_;
        return Grant { id, key.organisation, key.requestClass, upstream };
    }

    auto occupy(RequestClass requestClass, UpstreamId upstream) -> void
    {
        slots_.acquire(upstream);
        if (requestClass == RequestClass::Deferrable)
            ++deferrableUsed_;
    }

    auto release(RouterLedger& ledger, Slots::iterator position) -> Slots::iterator
    {
        const auto& slot = position->second;
        policy_.requestEnded(slot.key, slot.servedUnits);
        slots_.release(slot.upstream);
        if (slot.key.requestClass == RequestClass::Deferrable)
            --deferrableUsed_;
        return ledger.slots().erase(position);
    }

    /** Records the absolute number of units served so far. */
    auto progress(OutstandingGrant& slot, double units) -> void
    {
        if (units <= slot.servedUnits)
            return;
        policy_.requestProgressed(slot.key, units - slot.servedUnits);
        slot.servedUnits = units;
    }

    ShardSettings settings_;
    Policy policy_;
    SlotTable slots_;
    absl::btree_map<RouterId, RouterLedger> ledgers_;
    /** Waiting counts that the policy was given, less its choices since. */
    absl::flat_hash_map<DemandKey, std::uint32_t> policyWaiting_;
    GrantId nextGrant_;
    std::array<std::uint32_t, 2> waiting_ {};
    std::uint32_t deferrableUsed_ {};
    std::uint64_t granted_ {};
    std::uint64_t ignoredEnds_ {};
};

/** Creates the dispatcher of one policy; the registry has one factory for each policy. */
using DispatcherFactory = auto(*)(const ShardSettings& settings) -> std::unique_ptr<ShardDispatcher>;

template <DispatchPolicy Policy>
auto makePolicyShard(const ShardSettings& settings) -> std::unique_ptr<ShardDispatcher>
{
    return std::make_unique<PolicyShard<Policy>>(settings);
}

} // namespace camphorshunt
