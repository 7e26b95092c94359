#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "camphorshunt/result.h"

namespace camphorshunt::standins {

/**
 * Refuse: 503, not run. Slow: served `delay` later. Silent: never answers, or says nothing more after
 * `afterEvents` events, without closing. Cut: closes after `afterEvents` events or in the middle of a plain
 * answer. LostAck: runs or appends, then closes without an answer. LateAck (log): closes without an answer,
 * and the record lands `delay` later. Crossed: echoes a wrong attempt id.
 * Of platform engines: Unsigned: answers without a signature. Error: runs, then answers 500. Unproved: 503
 * without the proof that it did not run.
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
    Unproved
};

struct Fault {
    FaultMode mode = FaultMode::None;
    std::chrono::milliseconds delay { 0 };
    std::uint64_t afterEvents = 0;
};

/** Lost and late acknowledgements don't concern a Read, and no fault a Load without `"loadToo":true`. */
enum class RequestKind { Work, Read, Load };

/** The fault in force, set over `POST /admin/faults`. */
class FaultSwitch {
public:
    /**
     * Takes `{"mode":"cut","delayMs":0,"afterEvents":3,"count":1,"loadToo":false}`; `count` is the number of
     * requests that meet the fault, -1 (the default) for all. `{"leaving":true}` alone keeps the fault.
     */
    auto set(std::string_view json) -> Result<void>;
    /** The fault that this request meets. */
    auto next(RequestKind kind) -> Fault;
    auto leaving() const -> bool { return leaving_; }

private:
    Fault fault_;
    std::int64_t remaining_ = -1;
    bool affectsLoad_ = false;
    bool leaving_ = false;
};

} // namespace camphorshunt::standins
