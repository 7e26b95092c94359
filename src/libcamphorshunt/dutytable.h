#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "camphorshunt/action.h"
#include "camphorshunt/document.h"
#include "camphorshunt/event.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"
#include "camphorshunt/time.h"

#include "sharddispatcher.h"
#include "upstreamhealth.h"

namespace camphorshunt {

/** The dispatchers on this router, one for each shard whose duty (dispatcher role) it holds. */
class DutyTable {
public:
    DutyTable(RouterId self, Incarnation incarnation, std::uint64_t seed);

    auto setDocument(const std::shared_ptr<const Document>& document) -> void;
    /** Routers whose full demand a new dispatcher waits for before it grants slots. */
    auto setLiveRouters(std::span<const RouterId> routers) -> void
    {
        liveRouters_.assign(routers.begin(), routers.end());
    }
    /** Sets the names of the upstreams that the VM list marks as leaving. */
    auto setLeavingUpstreams(std::span<const std::string> names) -> void;
    /** Ends orphaned duties, polls the load of upstreams and sends totals to the other shards. */
    auto tick(Time now, const std::function<RouterId(const ShardId&)>& owner, Actions& actions) -> void;

    auto handle(Time now, RouterId from, const Demand& demand, Actions& actions) -> void;
    auto handle(Time now, RouterId from, const Ends& ends) -> void;
    auto handle(Time now, const Totals& totals) -> void;
    auto handle(Time now, const LoadReported& load) -> void;
    auto handle(Time now, const LoadFailed& failed) -> void;
    auto connectionLost(Time now, RouterId router) -> void;
    /** Releases the slots and the demand of a router that is dead or has a new incarnation. */
    auto routerLost(Time now, RouterId router) -> void;
    auto handleUpstreamLeaving(Time now, ServiceId service, UpstreamId upstream) -> void;
    auto accepts(ServiceId service, UpstreamId upstream) const -> bool;

    /** Grants free slots; to be called after all received messages have been handled. */
    auto grant(Time now, Actions& actions) -> void;

    struct Duty {
        std::unique_ptr<ShardDispatcher> dispatcher;
        /** Greater for each duty acquired, so that other shards can distinguish a regained duty. */
        Incarnation incarnation;
        Time lastDemand;
        /** Entry routers that have sent a full demand to this dispatcher. */
        absl::flat_hash_set<RouterId> syncedRouters;
        Time acquiredAt;
        /** True once every live router has sent its full demand, or the time for it has passed. */
        bool readyToGrant {};
        bool dirty = true;
    };
    auto duties() const -> const std::map<ShardId, Duty>& { return duties_; }

private:
    struct Service {
        std::shared_ptr<const Document> document;
        UpstreamHealth health;
    };

    /** Returns null if the document has no such shard or names an unknown policy. */
    auto acquireDuty(Time now, const ShardId& shard, Actions& actions) -> Duty*;
    auto removeDuties(ServiceId service) -> void;
    auto requestFullDemands(const ShardId& shard, const Duty& duty) -> void;
    auto isReadyToGrant(Time now, Duty& duty) const -> bool;
    auto configure(Time now, const ShardId& shard, Duty& duty) -> void;
    auto pollLoads(Time now, Actions& actions) -> void;
    auto sendTotals(Time now, const std::function<RouterId(const ShardId&)>& owner, Actions& actions) -> void;

    RouterId self_;
    Incarnation incarnation_;
    std::uint64_t seed_;
    std::uint64_t acquiredDuties_ {};
    absl::flat_hash_map<ServiceId, Service> services_;
    absl::flat_hash_map<UpstreamId, ServiceId> serviceOfUpstream_;
    std::map<ShardId, Duty> duties_;
    /** Entry routers to be asked for a full demand because the dispatcher they reported to was removed. */
    std::vector<std::pair<RouterId, ShardId>> fullDemandRequests_;
    std::vector<std::string> leavingUpstreams_;
    std::vector<RouterId> liveRouters_;
    Time nextPoll_ {};
};

} // namespace camphorshunt
