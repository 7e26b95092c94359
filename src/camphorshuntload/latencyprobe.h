#pragma once

#include <cstdint>
#include <string>

#include "plan.h"
#include "waits.h"

namespace camphorshunt::load {

/**
 * Measures the time to a complete short answer from an upstream, alternating between direct calls and calls
 * through a daemon.
 */
class LatencyProbe {
public:
    /** Uses the first daemon, upstream and organisation of `plan`, which must outlive the probe. */
    explicit LatencyProbe(const Plan& plan);

    auto run(std::uint64_t calls) -> void;
    /** Returns a table of medians and 99th percentiles in ms, with the difference and ratio of both paths. */
    auto text() const -> std::string;

private:
    const Plan& plan_;
    std::vector<double> direct_;
    std::vector<double> routed_;
    std::uint64_t failed_ {};
};

} // namespace camphorshunt::load
