#pragma once

#include <atomic>

#include "camphorshunt/time.h"

namespace camphorshunt::router {

/** State of a router that one thread sets and others read. */
struct SharedState {
    /** Set by the scheduler: the router can serve requests and does not shut down. */
    std::atomic<bool> ready = false;
    /** Set by the relay: it is overloaded, and new callers are better served elsewhere. */
    std::atomic<bool> divertsCallers = false;
    /** When a read of the directory of upstreams was last applied. */
    std::atomic<Time> directoryReadAt { Time {} };

    /** Answer to the readiness check. */
    auto acceptsCallers() const -> bool { return ready && !divertsCallers; }
};

} // namespace camphorshunt::router
