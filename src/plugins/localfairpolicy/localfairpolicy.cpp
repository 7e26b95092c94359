#include "camphorshunt/registry.h"

#include "policyshard.h"
#include "routershares.h"

namespace camphorshunt {

namespace {

const auto kRegistered
    = Registry<DispatcherFactory>::instance().add("localfair", &makePolicyShard<RouterShares>);

} // namespace

} // namespace camphorshunt
