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

/** A slot and the request that is to use it. */
struct Assignment {
    RequestId request;
    GrantId grant;
    UpstreamId upstream;
};

/**
 * The entry side of one service at this router: what waits, which slots are in use, and what the
 * dispatcher of each shard has been reported of both. When a shard's dispatcher does not answer, it
 * hands out this router's own fraction of the shard's slots.
 */
class EntryService {
public:
    EntryService(RouterId self, ServiceId service, Incarnation incarnation);

    auto setDocument(std::shared_ptr<const Document> document) -> void;
    auto document() const -> const std::shared_ptr<const Document>& { return document_; }
    /** The dispatcher of each shard, by shard index. A changed one is reported everything anew. */
    auto setOwners(Time now, std::span<const RouterId> owners) -> void;
    /** Number of routers that share the slots when no dispatcher answers. */
    auto setRouters(std::size_t routers) -> void { routers_ = routers; }
    /** A new run of the peer numbers its grants anew. */
    auto peerConnected(Time now, RouterId router, bool newIncarnation) -> void;
    auto peerDisconnected(Time now, RouterId router) -> void;

    auto queue() -> EntryQueue& { return queue_; }
    auto queue() const -> const EntryQueue& { return queue_; }
    /** How long a new request would wait; empty while the pace of its queue is not known. */
    auto expectedWait(OrganisationId organisation, RequestClass requestClass) const
        -> std::optional<Duration>;
    auto heldSlots() const -> std::size_t { return held_.size(); }

    /** Gives granted slots to waiting requests; the rest goes back unused. */
    auto applyGrants(Time now, RouterId from, const Grants& grants, std::vector<Assignment>& assignments)
        -> void;
    /** Hands out this router's own fraction where a dispatcher has been silent for too long. */
    auto admitLocally(Time now, std::vector<Assignment>& assignments) -> void;
    /** Units streamed so far under a grant, absolute. */
    auto charge(GrantId grant, double units) -> void;
    auto release(GrantId grant, double units, bool unused, AttemptResult result) -> void;

    /** Sends what changed to the dispatchers. */
    auto flush(Time now, Actions& actions) -> void;
    /** True when every dispatcher of this service runs on this router, so that a flush costs nothing. */
    auto ownsEveryShard() const -> bool;

private:
    struct Link {
        RouterId owner;
        /** False until a full demand has gone to the present owner. */
        bool synced {};
        /** When that was; nothing if the owner or its connection is new. */
        std::optional<Time> fullDemandAt;
        /** Sequence of the last grants by each router, dispatcher now or before. */
        absl::flat_hash_map<RouterId, std::uint64_t> grantsSeen;
        Time silentSince {};
        std::vector<SlotEnd> ends;
        std::vector<Charge> charges;
        /** Slots of former dispatchers, to be returned unused. */
        std::vector<std::pair<RouterId, SlotEnd>> orphanedGrants;
    };
    struct Slot {
        std::uint32_t shard {};
        HeldSlot held;
        double reportedUnits {};
        bool local {};
    };

    static auto resync(Time now, Link& link) -> void;
    /** Changes of demand that are to be reported now; none while they may wait for more. */
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

    /** Changes that the dispatchers have not been reported. */
    absl::btree_map<DemandKey, DemandEntry> unreported_;
    /** Counts that they were reported, less the requests taken since. */
    absl::flat_hash_map<DemandKey, std::uint32_t> reported_;
    std::optional<Time> demandReportedAt_;
    std::vector<Link> links_;
    absl::flat_hash_map<GrantId, Slot> held_;
    absl::flat_hash_set<RouterId> peers_;
    std::size_t routers_ = 1;
    std::uint64_t localGrants_ {};
    /** The organisation that this router let in last on its own. */
    OrganisationId lastLocalOrganisation_;
};

} // namespace camphorshunt
