#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/ids.h"
#include "camphorshunt/result.h"

namespace camphorshunt {

using Challenge = std::array<std::uint8_t, 32>;
using Proof = std::array<std::uint8_t, 32>;

enum class HandshakeRole : std::uint8_t {
    Dialler = 1,
    Acceptor = 2,
};

/** What each side says of itself before it is believed. */
struct Hello {
    std::string name;
    Incarnation incarnation;
    Challenge challenge {};
};

/** The part of a hello before the name; the last byte is the name's length. */
inline constexpr auto helloHeadBytes = std::size_t { 4 + 8 + 32 + 1 };

auto randomChallenge() -> Result<Challenge>;

/** The name must have 1 to 255 bytes. */
auto encodeHello(const Hello& hello) -> std::vector<std::uint8_t>;

/** Reads all but the name, and gives the name's length. */
auto decodeHelloHead(std::span<const std::uint8_t, helloHeadBytes> bytes, Hello& hello)
    -> Result<std::size_t>;

/**
 * HMAC-SHA-256 (RFC 2104) under the shared key of the sender's role and both hellos. The role keeps
 * one side's proof from being sent back to it as the other's.
 */
auto proveHello(std::string_view key, HandshakeRole sender, const Hello& dialler, const Hello& acceptor)
    -> Proof;

/** Takes the same time wherever they differ. */
auto sameProof(const Proof& left, const Proof& right) -> bool;

} // namespace camphorshunt
