#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "camphorshunt/action.h"
#include "camphorshunt/document.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"
#include "camphorshunt/time.h"

#include "entryqueue.h"
#include "waitestimator.h"

namespace camphorshunt {

/** A granted slot and the request that it is assigned to. */
struct Assignment {
    RequestId request;
    GrantId grant;
    UpstreamId upstream;
};

/**
 * The entry side of one service at this router: the waiting requests, the slots in use, and the part of
 * both that has been reported to the dispatcher of each shard. While a shard's dispatcher is unreachable,
 * it assigns this router's own fraction of the shard's slots.
 */
class EntryService {
public:
    EntryService(RouterId self, ServiceId service, Incarnation incarnation);

    auto setDocument(std::shared_ptr<const Document> document) -> void;
    auto document() const -> const std::shared_ptr<const Document>& { return document_; }
    /** Sets the dispatcher of each shard, by shard index. A changed dispatcher is sent a full demand. */
    auto setOwners(Time now, std::span<const RouterId> owners) -> void;
    /** Sets the number of routers that share the slots while a dispatcher is unreachable. */
    auto setRouters(std::size_t routers) -> void { routers_ = routers; }
    /** A new incarnation of the peer restarts its Grants sequence numbers. */
    auto peerConnected(Time now, RouterId router, bool newIncarnation) -> void;
    auto peerDisconnected(Time now, RouterId router) -> void;

    auto queue() -> EntryQueue& { return queue_; }
    auto queue() const -> const EntryQueue& { return queue_; }
    /** Estimated wait of a new request; empty while too few requests have been dequeued to tell. */
    auto expectedWait(OrganisationId organisation, RequestClass requestClass) const
        -> std::optional<Duration>;
    auto heldSlots() const -> std::size_t { return held_.size(); }

    /** Assigns granted slots to waiting requests; the other slots are returned unused. */
    auto applyGrants(Time now, RouterId from, const Grants& grants, std::vector<Assignment>& assignments)
        -> void;
    /** Assigns this router's own fraction of the slots whose dispatcher has been unreachable for too long. */
    auto admitLocally(Time now, std::vector<Assignment>& assignments) -> void;
    /** Records the absolute number of units streamed so far under a grant. */
    auto charge(GrantId grant, double units) -> void;
    auto release(GrantId grant, double units, bool unused, AttemptResult result) -> void;

    /** Sends changed demand, charges and ends to the dispatchers. */
    auto flush(Time now, Actions& actions) -> void;
    /** True if this router is the dispatcher of every shard; a flush then sends nothing to others. */
    auto ownsEveryShard() const -> bool;

private:
    struct Link {
        RouterId owner;
        /** True if a full demand has been sent to the current owner and no other has been requested since. */
        bool synced {};
        /** Time of the last full demand; empty if there was none to this owner on this connection. */
        std::optional<Time> fullDemandAt;
        /** Number of the last Grants message from each router that is or was the dispatcher. */
        absl::flat_hash_map<RouterId, std::uint64_t> grantsSeen;
        Time silentSince {};
        std::vector<SlotEnd> ends;
        std::vector<Charge> charges;
        /** Slots granted by former dispatchers, to be returned unused. */
        std::vector<std::pair<RouterId, SlotEnd>> orphanedGrants;
    };
    struct Slot {
        std::uint32_t shard {};
        HeldSlot held;
        double reportedUnits {};
        bool local {};
    };

    static auto resync(Time now, Link& link) -> void;
    /** Removes and returns the changes of demand to be reported now; empty if the report may wait. */
    auto takeDueChanges(Time now) -> std::vector<DemandEntry>;
    auto linkOf(std::uint32_t shard) -> Link*;
    auto fullDemand(std::uint32_t shard) const -> Demand;
    auto returnOrphanedGrants(std::uint32_t shard, Actions& actions) -> void;
    auto flushShard(Time now, std::uint32_t shard, std::span<const DemandEntry> changes, Actions& actions)
        -> void;
    auto assignWaiting(Time now, std::vector<Assignment>& assignments, Slot slot) -> bool;
    auto chooseLocal() -> DemandEntry;
    auto heldSlotsAt(UpstreamId upstream) const -> std::uint32_t;

    auto isReachable(RouterId router) const -> bool;

    RouterId self_;
    ServiceId service_;
    Incarnation incarnation_;
    std::shared_ptr<const Document> document_;
    EntryQueue queue_;
    WaitEstimator waitEstimator_;
    using DemandKey = std::pair<OrganisationId, RequestClass>;

    /** Changes of demand not yet reported to the dispatchers. */
    absl::btree_map<DemandKey, DemandEntry> unreported_;
    /** Waiting counts reported to the dispatchers, less the requests dequeued since. */
    absl::flat_hash_map<DemandKey, std::uint32_t> reported_;
    std::optional<Time> demandReportedAt_;
    std::vector<Link> links_;
    absl::flat_hash_map<GrantId, Slot> held_;
    absl::flat_hash_set<RouterId> peers_;
    std::size_t routers_ = 1;
    std::uint64_t localGrants_ {};
    /** The organisation whose request was last admitted locally. */
    OrganisationId lastLocalOrganisation_;
};

} // namespace camphorshunt
