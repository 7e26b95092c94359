#pragma once

#include <atomic>

#include "camphorshunt/time.h"

namespace camphorshunt::router {

/** State of a router that the scheduler thread sets and other threads read. */
struct SharedState {
    /** Answer to the readiness check. */
    std::atomic<bool> ready = false;
    /** When a read of the directory of upstreams was last applied. */
    std::atomic<Time> directoryReadAt { Time {} };
};

} // namespace camphorshunt::router
