#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fairnessgap.h"
#include "plan.h"
#include "waits.h"

namespace camphorshunt::load {

using Clock = std::chrono::steady_clock;

/** Interval between two samples of the organisations' service. */
constexpr auto sampleInterval = std::chrono::milliseconds(50);

/** Records what the organisations sent and received, from the callers' point of view. */
class Measurements {
public:
    struct Counts {
        std::uint64_t sent {};
        std::uint64_t done {};
        /** Complete answers with a status other than 200. */
        std::uint64_t refused {};
        /** Calls without a complete answer: truncated, disconnected or timed out. */
        std::uint64_t failed {};
        std::uint64_t outputTokens {};
    };

    explicit Measurements(const Plan& plan);

    auto recordSent(std::size_t organisation) -> void;
    /** Call once per request, at its first token or at its end if it got none. */
    auto recordWaitEnd(std::size_t organisation) -> void;
    auto recordFirstToken(std::size_t organisation, double waitedSeconds, double promptUnits) -> void;
    auto recordTokens(std::size_t organisation, std::uint64_t count) -> void;
    auto recordEnd(std::size_t organisation, std::uint64_t Counts::*counter, double units) -> void;

    /** Ends the warm-up: discards all measurements except the state of requests in progress. */
    auto startMeasuring() -> void;
    auto sample() -> void;

    /** Number of requests in progress. */
    auto inProgress() const -> std::uint64_t { return inProgress_; }
    auto counts(std::size_t organisation) const -> const Counts&
    {
        return organisations_[organisation].counts;
    }
    auto total() const -> Counts;
    auto series() const -> const std::vector<ServiceSeries>& { return series_; }
    auto waits() const -> const std::map<std::string, Waits>& { return waits_; }
    auto largestRequest() const -> double { return largestRequest_; }

private:
    struct Organisation {
        Counts counts;
        double service {};
        std::uint64_t waiting {};
        /** True if at some time since the last sample no request waited. */
        bool idled = true;
    };

    const Plan& plan_;
    std::vector<Organisation> organisations_;
    std::vector<ServiceSeries> series_;
    std::map<std::string, Waits> waits_;
    std::uint64_t inProgress_ {};
    double largestRequest_ {};
};

} // namespace camphorshunt::load
