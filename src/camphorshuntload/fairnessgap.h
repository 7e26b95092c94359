#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace camphorshunt::load {

/** Cumulative service of one organisation, sampled at equal intervals. */
struct ServiceSeries {
    struct Sample {
        /** Units of service since the start. */
        double service {};
        /** True if the organisation had a waiting request at all times since the previous sample. */
        bool backlogged {};
    };

    std::string organisation;
    double weight = 1.0;
    std::vector<Sample> samples;
};

/** Largest difference in service between two organisations while both had waiting requests. */
struct PairGap {
    std::string first;
    std::string second;
    /** Units of service, divided by the weight. */
    double units {};
    /** Number of samples at which both organisations were backlogged. */
    std::size_t samples {};
    /** Index of the sample at which the worst window ends. */
    std::size_t worstAt {};
};

/**
 * Returns the gap of each pair of organisations with equal weights, largest first. The gap is taken over the
 * worst window within any interval in which both were backlogged. Pairs that were never backlogged at the
 * same time are omitted.
 */
auto fairnessGaps(std::span<const ServiceSeries> series) -> std::vector<PairGap>;

} // namespace camphorshunt::load
