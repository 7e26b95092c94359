#include "camphorshunt/registry.h"

#include "arrivalorder.h"
#include "policyshard.h"

namespace camphorshunt {

namespace {

const auto kRegistered = Registry<DispatcherFactory>::instance().add("fcfs", &makePolicyShard<ArrivalOrder>);

} // namespace

} // namespace camphorshunt
