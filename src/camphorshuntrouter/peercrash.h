#pragma once

#include "camphorshunt/result.h"

#include "fleet_generated.h"
#include "peerframe.h"

namespace camphorshunt::router {

auto packCrash(flatbuffers::FlatBufferBuilder& builder, const PeerCrash& crash)
    -> flatbuffers::Offset<fleet::Crash>;
auto unpackCrash(const fleet::Crash& packed) -> Result<PeerCrash>;

} // namespace camphorshunt::router
