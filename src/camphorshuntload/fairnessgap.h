#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace camphorshunt::load {

/** What one organisation had received at equally spaced times. */
struct ServiceSeries {
    struct Sample {
        /** Units of service since the start. */
        double service {};
        /** True when something of it waited all the time since the sample before. */
        bool backlogged {};
    };

    std::string organisation;
    double weight = 1.0;
    std::vector<Sample> samples;
};

/** The most by which one organisation of a pair was served before the other while both had work waiting. */
struct PairGap {
    std::string first;
    std::string second;
    /** Units of service per weight. */
    double units {};
    /** Samples during which both were backlogged. */
    std::size_t samples {};
    /** The sample at which the worst window ended. */
    std::size_t worstAt {};
};

/**
 * The gap of each two organisations of equal weight over the worst window of any interval in which
 * both were backlogged, greatest first. Pairs that were never backlogged together are left out.
 */
auto fairnessGaps(std::span<const ServiceSeries> series) -> std::vector<PairGap>;

} // namespace camphorshunt::load
