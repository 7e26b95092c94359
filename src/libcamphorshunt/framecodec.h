#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "camphorshunt/peermessage.h"
#include "camphorshunt/result.h"

namespace camphorshunt {

/** Longest body of one frame between routers, in bytes. */
inline constexpr std::size_t maxFrameBytes = std::size_t { 8 } * 1024 * 1024;

/** FlatBuffers bytes of one peer message (schema `wire.fbs`). */
auto encodeMessage(const PeerMessage& message) -> std::vector<std::uint8_t>;

/** Verifies the bytes before any field is read. */
auto decodeMessage(std::span<const std::uint8_t> bytes) -> Result<PeerMessage>;

} // namespace camphorshunt
