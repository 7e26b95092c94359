#pragma once

#include <cstdint>

namespace camphorshunt {

/** How an attempt at an upstream ended. */
enum class AttemptResult : std::uint8_t {
    /** The whole answer, terminator included, was passed on. */
    Complete,
    /** Nothing was sent: the connection was refused or timed out before the first byte. */
    NotSent,
    /** The upstream refused with 429 or 503 before running the request. */
    Refused,
    /** The upstream answered with another status that is no success; the answer was passed on. */
    Failed,
    /** The connection broke or ended without a terminator. */
    Broken,
    /** No byte came within the time allowed. */
    Silent,
    /** The answer echoed another attempt's id. */
    Crossed,
    /** Ended because the core asked for it. */
    Cancelled,
};

} // namespace camphorshunt
