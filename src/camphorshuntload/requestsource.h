#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "camphorshunt/placement.h"

#include "placingplan.h"

namespace camphorshunt::load {

/** A request of a simulated caller, with the properties that only the simulation knows. */
struct SimulatedRequest {
    PlacementRequest request;
    std::size_t kind = 0;
    std::size_t organisation = 0;
    std::size_t router = 0;
    std::uint32_t output = 1;
    /** When the caller sent its first attempt; the deadline and whether it is late count from here. */
    Time firstSent;
    std::uint64_t retriesLeft = 0;
    /** True if the caller was refused before. */
    bool isRetry = false;
};

/** Generates the requests of a plan; the same seed gives the same requests. */
class RequestSource {
public:
    explicit RequestSource(const PlacingPlan& plan);

    /** Returns the requests that callers send between `now` and `now + step`. */
    auto draw(Time now, Duration step) -> std::vector<SimulatedRequest>;
    auto organisationName(std::size_t organisation) const -> std::string;

private:
    auto rateOf(Time now, std::size_t organisation) const -> double;
    auto drawRequest(Time now, std::size_t organisation) -> SimulatedRequest;
    auto drawPart(const PlannedPart& part, std::uint64_t salt, std::size_t organisation) -> PromptPart;

    const PlacingPlan& plan_;
    std::vector<double> organisationShares_;
    std::discrete_distribution<std::size_t> kinds_;
    std::mt19937_64 random_;
    std::uint64_t next_ = 0;
};

} // namespace camphorshunt::load
