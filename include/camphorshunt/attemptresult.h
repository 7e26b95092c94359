#pragma once

#include <cstdint>

namespace camphorshunt {

/** Result of an attempt to execute a request at an upstream. */
enum class AttemptResult : std::uint8_t {
    /** The complete answer, including its terminator, was forwarded. */
    Complete,
    /** No byte was sent: the connection attempt was refused or timed out. */
    NotSent,
    /** The upstream refused with 429 or 503 without executing the request. */
    Refused,
    /** The upstream answered with another error status; the answer was forwarded. */
    Failed,
    /** The connection failed, or closed before the answer's terminator. */
    Broken,
    /** No byte arrived within the timeout. */
    Silent,
    /** The answer carries the id of another attempt. */
    Crossed,
    /** Cancelled at the request of the core. */
    Cancelled,
};

} // namespace camphorshunt
