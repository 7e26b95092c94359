#pragma once

#include "camphorshunt/result.h"

#include "fleet_generated.h"
#include "peerframe.h"

namespace camphorshunt::router {

// What routers tell each other of prompt parts under which engines crash.

auto packQuarantinedSet(flatbuffers::FlatBufferBuilder& builder, const PeerQuarantine& quarantine)
    -> flatbuffers::Offset<fleet::QuarantinedSet>;
auto unpackQuarantinedSet(const fleet::QuarantinedSet& packed) -> Result<PeerQuarantine>;

auto packCrash(flatbuffers::FlatBufferBuilder& builder, const PeerCrash& crash)
    -> flatbuffers::Offset<fleet::Crash>;
auto unpackCrash(const fleet::Crash& packed) -> Result<PeerCrash>;

} // namespace camphorshunt::router
