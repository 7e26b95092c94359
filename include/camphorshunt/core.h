#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "camphorshunt/action.h"
#include "camphorshunt/event.h"
#include "camphorshunt/result.h"

namespace camphorshunt {

/** What a daemon knows of itself from its settings. */
struct CoreSettings {
    std::string name;
    std::string failureDomain;
    Incarnation incarnation;
    /** Added to a core time since its epoch, gives the wall time since the Unix epoch. */
    Duration wallOffset {};
    /** Seed of the core's random numbers. */
    std::uint64_t seed {};
    Duration tick = 20ms;
};

/**
 * All decisions of one daemon: events and a time in, actions out. It has no clock, no sockets and
 * no threads, so that a recorded run can be replayed.
 */
class Core {
public:
    static auto create(const CoreSettings& settings) -> Result<std::unique_ptr<Core>>;
    virtual ~Core() = default;

    /** Applies one event and appends what is to be done. `now` never goes back. */
    virtual auto handle(Time now, const Event& event, Actions& actions) -> void = 0;

    /** The state shown to operators, as JSON. */
    virtual auto status(Time now) const -> std::string = 0;
};

} // namespace camphorshunt
