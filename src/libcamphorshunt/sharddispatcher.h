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
    std::uint32_t organisations {};
    std::uint64_t granted {};
};

/**
 * Hands free slots of one shard to waiting organisations. Runs on the router that has the shard's
 * duty; all of its state can be rebuilt from full demands.
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
    /** An entry router is dead or has a new incarnation: its slots are free, its demand is gone. */
    virtual auto dropRouter(Time now, RouterId router) -> void = 0;
    /** Hands out what is free; appends SendPeer actions carrying Grants (also to itself). */
    virtual auto grant(Time now, Actions& actions) -> void = 0;
    /** Totals to tell the other shards, if some organisation's unreported part passed the quantum. */
    virtual auto takeTotals(Time now) -> std::vector<ServiceTotal> = 0;
    virtual auto status() const -> ShardStatus = 0;
};

} // namespace camphorshunt
