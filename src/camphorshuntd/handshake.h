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

/** The first message of each side; not authenticated until its proof has been checked. */
struct Hello {
    std::string name;
    Incarnation incarnation;
    Challenge challenge {};
};

/** Length of the part before the name: magic, incarnation, challenge and the name's length (1 byte). */
inline constexpr auto helloHeadBytes = std::size_t { 4 + 8 + 32 + 1 };

auto randomChallenge() -> Result<Challenge>;

/** The name must have 1 to 255 bytes. */
auto encodeHello(const Hello& hello) -> std::vector<std::uint8_t>;

/** Decodes all fields before the name into `hello` and returns the name's length. */
auto decodeHelloHead(std::span<const std::uint8_t, helloHeadBytes> bytes, Hello& hello)
    -> Result<std::size_t>;

/**
 * HMAC-SHA-256 (RFC 2104) of the sender's role and both hellos, keyed with the shared key. Including the role
 * prevents reflection, where one side's proof is sent back to it as the other's.
 */
auto proveHello(std::string_view key, HandshakeRole sender, const Hello& dialler, const Hello& acceptor)
    -> Proof;

/** Compares in constant time. */
auto sameProof(const Proof& left, const Proof& right) -> bool;

} // namespace camphorshunt
