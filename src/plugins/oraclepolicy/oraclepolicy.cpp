#include "camphorshunt/registry.h"

#include "fairshares.h"
#include "policyshard.h"

namespace camphorshunt {

namespace {

/**
 * The bound that the others are measured against. It assumes what only an experiment can give it: one
 * shard for all upstreams, so that nothing is unreported, and callers whose hints are the exact costs.
 */
auto makeOracle(const ShardSettings& settings) -> std::unique_ptr<ShardDispatcher>
{
    return std::make_unique<PolicyShard<FairShares>>(settings, FairShares::Estimates::Exact);
}

const auto kRegistered = Registry<DispatcherFactory>::instance().add("oracle", &makeOracle);

} // namespace

} // namespace camphorshunt
