#include "camphorshunt/registry.h"

#include "fairshares.h"
#include "policyshard.h"

namespace camphorshunt {

namespace {

/**
 * The bound that the others are measured against: the fair policy where it knows all. That assumes one
 * shard for all upstreams, so that no service is unreported, and a document that says so; costs it need
 * not know beforehand.
 */
const auto kRegistered = Registry<DispatcherFactory>::instance().add("oracle", &makePolicyShard<FairShares>);

} // namespace

} // namespace camphorshunt
