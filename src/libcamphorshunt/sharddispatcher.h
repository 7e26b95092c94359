#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/action.h"
#include "camphorshunt/document.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"
#include "camphorshunt/result.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

/** An upstream as a dispatcher may use it now. */
struct UpstreamCapacity {
    UpstreamId upstream;
    /** Slots that may be in use at once; 0 while it is leaving or ejected. */
    std::uint32_t slots {};
};

struct OrganisationWeight {
    OrganisationId organisation;
    double weight = 1.0;
};

struct ShardSettings {
    ShardId shard;
    /** Greater for each later run of a dispatcher of this shard, on this router too. */
    Incarnation dispatcher;
    /** The router this dispatcher runs on. */
    RouterId self;
    Dispatch dispatch;
    std::uint64_t seed {};
};

struct ShardStatus {
    std::uint32_t slots {};
    std::uint32_t used {};
    std::uint32_t waiting {};
    /** The deferrable part of `used` and `waiting`. */
    std::uint32_t usedDeferrable {};
    std::uint32_t waitingDeferrable {};
    std::uint32_t organisations {};
    std::uint64_t granted {};
    /** Ends of grants that were not outstanding: told twice, or late. */
    std::uint64_t ignoredEnds {};
};

/**
 * Hands free slots of one shard to waiting organisations. Runs on the router that has the shard's
 * duty; all of its state can be rebuilt from full demands.
 *
 * Rules between an entry router and the dispatcher:
 * - Frames of one connection keep their order. The dispatcher is told of a lost connection by
 *   `connectionLost` before it gets the full demand of the next one. That demand releases all grants
 *   not in `held`: those up to `grantsSeen` have ended, the later ones were lost on the way. A full
 *   demand on a connection that stands leaves the later ones alone, as they are still on their way.
 * - `grantsSeen` is the number of the last Grants message seen; a new dispatcher goes on from there.
 *   Number 0 carries no grants and asks for a full demand; a dispatcher sends it once to a router that it
 *   hears from without one.
 * - Ends that wait while the connection is down go before the full demand, which would else release
 *   their slots uncharged.
 * - `HeldSlot::chargedUnits` are the units served so far; what follows is charged here.
 * - A grant id is never handed out twice; the end of a grant that is not outstanding is ignored and
 *   counted.
 */
class ShardDispatcher {
public:
    /** Makes the dispatcher of a registered policy; the error lists the registered names. */
    static auto create(std::string_view policy, const ShardSettings& settings)
        -> Result<std::unique_ptr<ShardDispatcher>>;
    virtual ~ShardDispatcher() = default;

    virtual auto setUpstreams(std::span<const UpstreamCapacity> upstreams) -> void = 0;
    virtual auto setWeights(std::span<const OrganisationWeight> weights) -> void = 0;
    virtual auto apply(Time now, RouterId from, const Demand& demand) -> void = 0;
    virtual auto apply(Time now, RouterId from, const Ends& ends) -> void = 0;
    virtual auto apply(Time now, const Totals& totals) -> void = 0;
    /**
     * The connection to an entry router ended: no grants go to it until its next full demand. Its
     * slots stay in use.
     */
    virtual auto connectionLost(Time now, RouterId router) -> void = 0;
    /** An entry router is dead or has a new incarnation: its slots are free, its demand is gone. */
    virtual auto dropRouter(Time now, RouterId router) -> void = 0;
    /** Hands out what is free; appends SendPeer actions carrying Grants (also to itself). */
    virtual auto grant(Time now, Actions& actions) -> void = 0;
    /** Totals to tell the other shards, if some organisation's unreported part passed the quantum. */
    virtual auto takeTotals(Time now) -> std::vector<ServiceTotal> = 0;
    virtual auto status() const -> ShardStatus = 0;
};

} // namespace camphorshunt
