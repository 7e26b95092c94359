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

/** Between two samples of what the organisations have received. */
constexpr auto sampleInterval = std::chrono::milliseconds(50);

/** What the run's organisations sent and received, as the callers saw it. */
class Measurements {
public:
    struct Counts {
        std::uint64_t sent {};
        std::uint64_t done {};
        /** Answered as not run. */
        std::uint64_t refused {};
        /** Cut, lost or silent. */
        std::uint64_t failed {};
        std::uint64_t outputTokens {};
    };

    explicit Measurements(const Plan& plan);

    auto recordSent(std::size_t organisation) -> void;
    /** The request waits no more: its first token has come, or it has ended without one. */
    auto recordWaitEnd(std::size_t organisation) -> void;
    auto recordFirstToken(std::size_t organisation, double waitedSeconds, double promptUnits) -> void;
    auto recordTokens(std::size_t organisation, std::uint64_t count) -> void;
    auto recordEnd(std::size_t organisation, std::uint64_t Counts::*counter, double units) -> void;

    /** Begins the time that counts: forgets all but what is in progress. */
    auto startMeasuring() -> void;
    auto sample() -> void;

    /** Requests in progress. */
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
        /** True when at some time since the last sample nothing waited. */
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
