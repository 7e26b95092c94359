#include "camphorshunt/registry.h"

#include "fairshares.h"
#include "policyshard.h"

namespace camphorshunt {

namespace {

/**
 * The upper bound that the other policies are compared with: the fair policy with complete knowledge. The
 * document must configure one shard for all upstreams, so that no service is unreported. Costs need not be
 * known in advance.
 */
const auto kRegistered = Registry<DispatcherFactory>::instance().add("oracle", &makePolicyShard<FairShares>);

} // namespace

} // namespace camphorshunt
