#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "camphorshunt/peermessage.h"
#include "camphorshunt/result.h"

namespace camphorshunt {

/** Maximum size of the body of one frame between routers, in bytes. */
inline constexpr std::size_t maxFrameBytes = std::size_t { 8 } * 1024 * 1024;

/** Encodes a peer message as FlatBuffers (schema `wire.fbs`), without the frame header. */
auto encodeMessage(const PeerMessage& message) -> std::vector<std::uint8_t>;

/** Decodes untrusted bytes: they are verified before any field is read. */
auto decodeMessage(std::span<const std::uint8_t> bytes) -> Result<PeerMessage>;

} // namespace camphorshunt
