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
    /** Slots that may be in use at the same time; 0 while the upstream is leaving or ejected. */
    std::uint32_t slots {};
};

struct OrganisationWeight {
    OrganisationId organisation;
    double weight = 1.0;
};

struct ShardSettings {
    ShardId shard;
    /** Greater for each later dispatcher of this shard, also on the same router. */
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
    /** Ends received for grants that were not outstanding: duplicates or late ones. */
    std::uint64_t ignoredEnds {};
};

/**
 * Grants free slots of one shard to waiting organisations. Runs on the router that holds the shard's
 * duty; all of its state can be rebuilt from full demands.
 *
 * Rules between an entry router and the dispatcher:
 * - Frames of one connection keep their order. `connectionLost` is called before the full demand of the
 *   next connection is applied. That demand releases all grants not in `held`: those up to `grantsSeen`
 *   have ended, the later ones were lost with the connection. A full demand on a connection that is still
 *   open does not release the later ones, as they are in flight.
 * - `grantsSeen` is the sequence number of the last Grants message that the router has received; a new
 *   dispatcher continues from it. A Grants message with number 0 carries no grants and requests a full
 *   demand; a dispatcher sends it once to a router that has sent it a message but no full demand yet.
 * - Ends that wait while the connection is down are sent after the full demand. That demand has already
 *   released their slots, so these ends are ignored, and the units since the last charge stay uncharged.
 * - `HeldSlot::chargedUnits` are the units served so far; this dispatcher charges the units after them.
 * - A grant id is never used twice; the end of a grant that is not outstanding is ignored and counted.
 */
class ShardDispatcher {
public:
    /** Creates the dispatcher of a registered policy; the error lists the registered names. */
    static auto create(std::string_view policy, const ShardSettings& settings)
        -> Result<std::unique_ptr<ShardDispatcher>>;
    virtual ~ShardDispatcher() = default;

    virtual auto setUpstreams(std::span<const UpstreamCapacity> upstreams) -> void = 0;
    virtual auto setWeights(std::span<const OrganisationWeight> weights) -> void = 0;
    virtual auto apply(Time now, RouterId from, const Demand& demand) -> void = 0;
    virtual auto apply(Time now, RouterId from, const Ends& ends) -> void = 0;
    virtual auto apply(Time now, const Totals& totals) -> void = 0;
    /**
     * The connection to an entry router was lost. Its slots stay in use, but it is sent no grants until
     * its next full demand.
     */
    virtual auto connectionLost(Time now, RouterId router) -> void = 0;
    /** Releases the slots and the demand of an entry router that is dead or has a new incarnation. */
    virtual auto dropRouter(Time now, RouterId router) -> void = 0;
    /** Grants free slots; appends SendPeer actions with Grants messages, also to this router itself. */
    virtual auto grant(Time now, Actions& actions) -> void = 0;
    /** Totals of the organisations whose unreported service has reached the quantum, for the other shards. */
    virtual auto takeTotals(Time now) -> std::vector<ServiceTotal> = 0;
    virtual auto status() const -> ShardStatus = 0;
};

} // namespace camphorshunt
