#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "placingplan.h"
#include "requestsource.h"

namespace camphorshunt::load {

/** How a simulated request ended; `Late`: the first token arrived after the goal. */
enum class RequestFate : std::uint8_t { InTime, Late, Refused, Failed };

/** Numbers of requests by outcome, and the value earned and attainable with them. */
struct FateCounts {
    std::uint64_t requested = 0;
    std::uint64_t inTime = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    double earned = 0;
    double attainable = 0;

    auto served() const -> std::uint64_t { return inTime + late; }
    auto worth() const -> double { return attainable > 0 ? earned / attainable : 0.0; }
};

/** Collects the results of a simulation from the callers' point of view. */
class PlacingOutcome {
public:
    explicit PlacingOutcome(const PlacingPlan& plan);

    auto recordRequest(Time now, const SimulatedRequest& request) -> void;
    /** Call when an engine has accepted the request. */
    auto recordExecutionStart(Time now, const SimulatedRequest& request) -> void;
    auto recordEnd(const SimulatedRequest& request, RequestFate fate) -> void;
    /** Call when a request is refused, even if it is retried, or when its first token arrives late. */
    auto recordWait(Time now, const SimulatedRequest& request) -> void;
    auto recordRetry(Time now) -> void;
    /** Call when an engine refuses a request, or ends while it runs. */
    auto recordSentInVain() -> void { ++sentInVain_; }
    auto recordFirstToken(Time placed, Duration predicted, Duration seen) -> void;
    auto recordEngineTotals(std::uint64_t tokensRead, std::uint64_t tokensCopied, std::uint64_t preemptions)
        -> void;

    auto total() const -> FateCounts;
    auto ofKind(std::size_t kind) const -> const FateCounts& { return kinds_.at(kind); }
    auto ofOrganisation(std::size_t organisation) const -> const FateCounts&
    {
        return organisations_.at(organisation);
    }
    /**
     * Returns the lowest ratio of received to fair service over all organisations and all windows of six
     * seconds. The fair service is the smaller of the organisation's own demand and the service of the best
     * served organisation, less three of the largest requests. Only windows count in which the organisation
     * had a waiting request in each second. The largest possible value is 1, also if no window counts.
     */
    auto worstShare() const -> double;
    /**
     * Like `worstShare`, with the fair service determined for each second of the window and added up, so that
     * what another organisation got while this one asked for little does not count.
     */
    auto worstShareBySecond() const -> double;
    auto retries() const -> const FateCounts& { return retries_; }
    auto sentInVain() const -> std::uint64_t { return sentInVain_; }
    /** Retries in the busiest tenth of a second, relative to the mean over all tenths with a retry. */
    auto retryPeak() const -> double;
    /**
     * Quantile of the observed minus the predicted time to the first token, in ms. `warmedUp` selects
     * requests placed after the first three seconds instead of those placed before.
     */
    auto predictionError(double quantile, bool warmedUp) const -> double;

    auto text() const -> std::string;
    auto json() const -> boost::json::object;

private:
    struct Second {
        double requested = 0;
        double begun = 0;
        bool waited = false;
    };

    auto secondOf(Time now, std::size_t organisation) -> Second&;
    /** Number of seconds in which anything was recorded. */
    auto seconds() const -> std::size_t;
    /** In tokens. */
    auto largestRequest() const -> double;

    const PlacingPlan& plan_;
    std::vector<FateCounts> kinds_;
    std::vector<FateCounts> organisations_;
    FateCounts retries_;
    /** Indexed by organisation, then by second. */
    std::vector<std::vector<Second>> seconds_;
    std::vector<std::uint64_t> retriesByTenth_;
    std::vector<double> firstErrors_;
    std::vector<double> laterErrors_;
    std::uint64_t tokensRead_ = 0;
    std::uint64_t tokensCopied_ = 0;
    std::uint64_t preemptions_ = 0;
    std::uint64_t sentInVain_ = 0;
};

} // namespace camphorshunt::load
