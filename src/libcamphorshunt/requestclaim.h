#pragma once

#include <compare>
#include <cstdint>

#include "camphorshunt/ids.h"

namespace camphorshunt {

/** Names a piece of work that must run at most once: who asks, of which service, under which key. */
struct ClaimKey {
    ServiceId service;
    OrganisationId organisation;
    /** The 128 bits of the caller's UUID version 7 (RFC 9562). */
    std::uint64_t keyHigh {};
    std::uint64_t keyLow {};

    auto operator<=>(const ClaimKey&) const = default;

    /** Milliseconds since the Unix epoch at which the caller issued the key. */
    auto issuedMs() const -> std::int64_t { return static_cast<std::int64_t>(keyHigh >> 16U); }

    template <typename H> friend auto AbslHashValue(H state, const ClaimKey& key) -> H
    {
        return H::combine(std::move(state), key.service, key.organisation, key.keyHigh, key.keyLow);
    }
};

/** What the claims stream says of a key. */
enum class KeyState : std::uint8_t {
    Free,
    /** Claimed; its holder may be running it, may have run it, or may have crashed. */
    Running,
    /** Its holder has reported the end of the run. */
    Done,
};

} // namespace camphorshunt
