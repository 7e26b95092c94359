#pragma once

#include <cstdint>
#include <string>

#include "plan.h"
#include "waits.h"

namespace camphorshunt::load {

/** The time to a whole short answer, from an upstream itself and routedSeconds a daemon, call by call in
 * turn. */
class LatencyProbe {
public:
    /** Takes the first daemon, upstream and organisation of the plan. */
    explicit LatencyProbe(const Plan& plan);

    auto run(std::uint64_t calls) -> void;
    /** Medians and 99th percentiles in ms, and what the daemon adds. */
    auto text() const -> std::string;

private:
    const Plan& plan_;
    std::vector<double> direct_;
    std::vector<double> routed_;
    std::uint64_t failed_ {};
};

} // namespace camphorshunt::load
