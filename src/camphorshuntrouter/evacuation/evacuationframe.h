#pragma once

#include "camphorshunt/result.h"

#include "evacuation/evacuations.h"
#include "fleet_generated.h"

namespace camphorshunt::router {

// What routers tell each other of evacuated failure domains.

auto packEvacuation(flatbuffers::FlatBufferBuilder& builder, const EvacuationState& state)
    -> flatbuffers::Offset<fleet::Evacuation>;
/** Fails if there are more domains than a router keeps. */
auto unpackEvacuation(const fleet::Evacuation& packed) -> Result<EvacuationState>;

} // namespace camphorshunt::router
