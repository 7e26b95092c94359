#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "camphorshunt/action.h"
#include "camphorshunt/event.h"
#include "camphorshunt/result.h"

namespace camphorshunt {

/** A daemon's own identity and parameters, from its settings. */
struct CoreSettings {
    std::string name;
    std::string failureDomain;
    Incarnation incarnation;
    /** Offset from the core's time since its epoch to the wall-clock time since the Unix epoch. */
    Duration wallOffset {};
    /** Seed of the core's random number generator. */
    std::uint64_t seed {};
    Duration tick = 20ms;
};

/**
 * Makes all decisions of one daemon: turns events and the current time into actions. It has no clock, no
 * sockets and no threads, so that recorded events can be replayed with the same result. Not thread-safe.
 */
class Core {
public:
    static auto create(const CoreSettings& settings) -> Result<std::unique_ptr<Core>>;
    virtual ~Core() = default;

    /** Handles one event and appends the resulting actions. `now` must not decrease between calls. */
    virtual auto handle(Time now, const Event& event, Actions& actions) -> void = 0;

    /** The state for operators, as JSON. */
    virtual auto status(Time now) const -> std::string = 0;
};

} // namespace camphorshunt
