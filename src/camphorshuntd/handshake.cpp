#include "handshake.h"

#include <algorithm>
#include <cassert>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace camphorshunt {

namespace {

constexpr auto magic = std::array<std::uint8_t, 4> { 'C', 'S', 'H', '1' };

auto appendNumber(std::vector<std::uint8_t>& bytes, std::uint64_t value) -> void
{
    for (auto shift = 0U; shift < 64U; shift += 8U)
        bytes.push_back(static_cast<std::uint8_t>(value >> shift));
}

auto readNumber(std::span<const std::uint8_t> bytes) -> std::uint64_t
{
    auto value = std::uint64_t { 0 };
    for (auto index = std::size_t { 0 }; index < 8; ++index)
        value |= std::uint64_t { bytes[index] } << (8 * index);
    return value;
}

} // namespace

auto randomChallenge() -> Result<Challenge>
{
    auto challenge = Challenge {};
    if (RAND_bytes(challenge.data(), static_cast<int>(challenge.size())) != 1)
        return failure(Error::Code::Unavailable, "handshake", "random bytes are not available");
    return challenge;
}

auto encodeHello(const Hello& hello) -> std::vector<std::uint8_t>
{
    assert(!hello.name.empty() && hello.name.size() <= 255);
    auto bytes = std::vector<std::uint8_t>(magic.begin(), magic.end());
    appendNumber(bytes, hello.incarnation.value);
    bytes.insert(bytes.end(), hello.challenge.begin(), hello.challenge.end());
    bytes.push_back(static_cast<std::uint8_t>(hello.name.size()));
    bytes.insert(bytes.end(), hello.name.begin(), hello.name.end());
    return bytes;
}

auto decodeHelloHead(std::span<const std::uint8_t, helloHeadBytes> bytes, Hello& hello) -> Result<std::size_t>
{
    if (!std::ranges::equal(bytes.first(magic.size()), magic))
        return failure(
            Error::Code::Malformed, "handshake", "the first bytes are not a hello of this protocol");
    const auto length = std::size_t { bytes.back() };
    if (length == 0)
        return failure(Error::Code::Malformed, "handshake", "the router's name is empty");
    hello.incarnation = { readNumber(bytes.subspan(magic.size())) };
    std::ranges::copy(bytes.subspan(magic.size() + 8, hello.challenge.size()), hello.challenge.begin());
    return length;
}

auto proveHello(std::string_view key, HandshakeRole sender, const Hello& dialler, const Hello& acceptor)
    -> Proof
{
    // A hello starts with fixed-length fields and contains its name's length, so the encoding of a pair is
    // unique.
    auto signedBytes = std::vector<std::uint8_t> { static_cast<std::uint8_t>(sender) };
    for (const auto* hello : { &dialler, &acceptor }) {
        const auto bytes = encodeHello(*hello);
        signedBytes.insert(signedBytes.end(), bytes.begin(), bytes.end());
    }
    auto proof = Proof {};
    auto length = static_cast<unsigned int>(proof.size());
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), signedBytes.data(), signedBytes.size(),
        proof.data(), &length);
    return proof;
}

auto sameProof(const Proof& left, const Proof& right) -> bool
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace camphorshunt
