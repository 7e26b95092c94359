#include "camphorshunt/registry.h"

#include "fairshares.h"
#include "policyshard.h"

namespace camphorshunt {

namespace {

const auto kRegistered = Registry<DispatcherFactory>::instance().add("fair", &makePolicyShard<FairShares>);

} // namespace

} // namespace camphorshunt
