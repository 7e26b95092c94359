#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>

#include "peertransport.h"

namespace camphorshunt {

/** Resource metrics of the process: control traffic, log appends, processor time, memory, ring depths. */
class ProcessMetrics : public prometheus::Collectable {
public:
    /** Called on the telemetry thread. */
    struct Sources {
        std::function<PeerTransport::Traffic()> traffic;
        std::function<std::uint64_t()> logAppends;
        /** Number of waiting items by name of ring. */
        std::function<std::vector<std::pair<std::string, std::size_t>>()> ringDepths;
        std::function<std::uint64_t()> spansDropped;
    };

    explicit ProcessMetrics(Sources sources)
        : sources_(std::move(sources))
    {
    }

    auto Collect() const -> std::vector<prometheus::MetricFamily> override;

private:
    Sources sources_;
};

} // namespace camphorshunt
