#include "waitestimator.h"

#include <algorithm>

namespace camphorshunt {

namespace {

/** Fewer intervals than this give no reliable estimate. */
constexpr auto minSamples = std::uint32_t { 8 };

/** The weight of a new interval in the moving average is one divided by this. */
constexpr auto smoothingDivisor = 4;

} // namespace

auto WaitEstimator::recordDequeue(
    Time now, OrganisationId organisation, RequestClass requestClass, std::size_t remaining) -> void
{
    auto& pace = paces_[{ organisation, requestClass }];
    if (pace.backlogged) {
        const auto interval = now - pace.lastDequeue;
        pace.interval
            = pace.samples == 0 ? interval : pace.interval + (interval - pace.interval) / smoothingDivisor;
        pace.samples = std::min(pace.samples + 1, minSamples);
    }
    pace.lastDequeue = now;
    pace.backlogged = remaining > 0;
}

auto WaitEstimator::estimate(OrganisationId organisation, RequestClass requestClass, std::size_t ahead) const
    -> std::optional<Duration>
{
    const auto found = paces_.find({ organisation, requestClass });
    if (found == paces_.end() || found->second.samples < minSamples)
        return std::nullopt;
    return found->second.interval * static_cast<Duration::rep>(ahead);
}

} // namespace camphorshunt
