#pragma once

#include <atomic>
#include <cstdint>

#include "peertransport.h"

namespace camphorshunt {

/** Traffic counters; written by the peers thread, readable on any thread. */
struct PeerTraffic {
    std::atomic<std::uint64_t> framesIn {};
    std::atomic<std::uint64_t> framesOut {};
    std::atomic<std::uint64_t> bytesIn {};
    std::atomic<std::uint64_t> bytesOut {};
    std::atomic<std::uint64_t> malformed {};

    auto counts() const -> PeerTransport::Traffic
    {
        return { framesIn, framesOut, bytesIn, bytesOut, malformed };
    }
};

} // namespace camphorshunt
