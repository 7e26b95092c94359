#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/ids.h"

namespace camphorshunt {

/** An upstream's own entry in the platform's directory. */
struct UpstreamEntry {
    std::string name;
    ServiceId service;
    Endpoint endpoint;
    std::string failureDomain;
    std::uint32_t slots = 1;
    /** Finishes its running requests and accepts no new ones. */
    bool draining = false;
    /** Wall-clock start time of the process, which distinguishes incarnations with the same name; zero if
     * unknown. */
    std::chrono::milliseconds startedAt {};

    auto id() const -> UpstreamId { return idOf<UpstreamId>(name); }
    auto operator==(const UpstreamEntry&) const -> bool = default;
};

} // namespace camphorshunt
