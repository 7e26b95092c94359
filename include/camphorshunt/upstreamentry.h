#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/ids.h"

namespace camphorshunt {

/** Identifies one process of an upstream: a restarted one is another, and so is one at another address. */
struct UpstreamProcess {
    UpstreamId upstream;
    /** Zero if unknown; the endpoint alone distinguishes processes then. */
    std::chrono::milliseconds startedAt {};
    Endpoint endpoint;

    auto operator==(const UpstreamProcess&) const -> bool = default;
    /** Whether this process replaces the other one under the same name. */
    auto isLaterThan(const UpstreamProcess& other) const -> bool
    {
        if (startedAt.count() == 0 || other.startedAt.count() == 0)
            return endpoint != other.endpoint;
        return startedAt > other.startedAt;
    }
};

/** An upstream's own entry in the platform's directory. */
struct UpstreamEntry {
    std::string name;
    ServiceId service;
    Endpoint endpoint;
    std::string failureDomain;
    std::uint32_t slots = 1;
    /** Finishes its running requests and accepts no new ones. */
    bool draining = false;
    /** Its failure domain is evacuated: it completes what it has and gets nothing more. */
    bool evacuated = false;
    /** How much longer the upstream stays cold, as of its last statement. */
    std::chrono::milliseconds coldRemaining {};
    /** Wall-clock start time of the process, which distinguishes incarnations with the same name; zero if
     * unknown. */
    std::chrono::milliseconds startedAt {};

    auto id() const -> UpstreamId { return idOf<UpstreamId>(name); }
    auto process() const -> UpstreamProcess { return { id(), startedAt, endpoint }; }
    auto operator==(const UpstreamEntry&) const -> bool = default;
};

} // namespace camphorshunt
