#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/ids.h"

namespace camphorshunt {

/** What one upstream says of itself in the platform's directory. */
struct UpstreamEntry {
    std::string name;
    ServiceId service;
    Endpoint endpoint;
    std::string failureDomain;
    std::uint32_t slots = 1;
    /** Serves what it has and takes nothing new. */
    bool draining = false;
    /** Wall-clock time of its start; tells runs under one name apart. Zero if it does not say. */
    std::chrono::milliseconds startedAt {};

    auto id() const -> UpstreamId { return idOf<UpstreamId>(name); }
    auto operator==(const UpstreamEntry&) const -> bool = default;
};

} // namespace camphorshunt
