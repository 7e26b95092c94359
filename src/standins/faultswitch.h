#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "camphorshunt/result.h"

namespace camphorshunt::standins {

/**
 * - Refuse: answers 503 without executing the request.
 * - Slow: serves the request `delay` later.
 * - Silent: never answers, or sends nothing after `afterEvents` events; leaves the connection open.
 * - Cut: closes the connection after `afterEvents` events, or in the middle of a plain answer.
 * - LostAck: executes or appends, then closes the connection without an answer.
 * - LateAck (log only): closes the connection without an answer and appends the record `delay` later.
 * - Crossed: echoes a wrong attempt id.
 * - Unsigned (platform engine only): answers without a signature.
 * - Error (platform engine only): executes the request, then answers 500.
 * - Unproved (platform engine only): answers 503 without the proof that the request was not executed.
 * - Unframed (platform engine only): streams without length and chunks, and closes the connection at the end.
 * - Torn (platform engine only): as Unframed, but closes in the middle of the event that follows
 * `afterEvents`.
 * - Trickle (platform engine only): after `afterEvents` events sends a byte of the next one now and then.
 * - Endless (platform engine only): after `afterEvents` events sends bytes of the next one without end.
 * - Rest (platform engine only): answers 503 without executing the request, with the given `Retry-After`.
 */
enum class FaultMode {
    None,
    Refuse,
    Slow,
    Silent,
    Cut,
    LostAck,
    LateAck,
    Crossed,
    Unsigned,
    Error,
    Unproved,
    Unframed,
    Torn,
    Trickle,
    Endless,
    Rest
};

struct Fault {
    FaultMode mode = FaultMode::None;
    std::chrono::milliseconds delay { 0 };
    std::uint64_t afterEvents = 0;
    /** Value of the header; an empty one is not sent. */
    std::string retryAfter {};
};

/** LostAck and LateAck do not affect a Read. No fault affects a Load unless `"loadToo":true` is set. */
enum class RequestKind { Work, Read, Load };

/** The active fault, set by `POST /admin/faults`. */
class FaultSwitch {
public:
    /**
     * Parses `{"mode":"cut","delayMs":0,"afterEvents":3,"retryAfter":"","count":1,"loadToo":false}`; `count`
     * is the number of requests that the fault affects, -1 (the default) for all. Without `mode`, as in
     * `{"leaving":true}`, the active fault is unchanged.
     */
    auto set(std::string_view json) -> Result<void>;
    /** Returns the fault that affects this request, and counts the request against `count`. */
    auto next(RequestKind kind) -> Fault;
    auto leaving() const -> bool { return leaving_; }

private:
    Fault fault_;
    std::int64_t remaining_ = -1;
    bool affectsLoad_ = false;
    bool leaving_ = false;
};

} // namespace camphorshunt::standins
