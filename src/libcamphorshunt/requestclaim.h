#pragma once

#include <compare>
#include <cstdint>

#include "camphorshunt/ids.h"

namespace camphorshunt {

/** Identifies work that must run at most once, by service, organisation and the caller's idempotency key. */
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

/** State of a key according to its claims stream. */
enum class KeyState : std::uint8_t {
    Free,
    /** Claimed; the holder may be running the request, may have run it, or may have crashed. */
    Running,
    /** The holder has reported the end of the execution. */
    Done,
};

} // namespace camphorshunt
