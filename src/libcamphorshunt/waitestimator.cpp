#include "waitestimator.h"

#include <algorithm>

namespace camphorshunt {

namespace {

/** Fewer intervals than this say too little. */
constexpr auto enoughSamples = std::uint32_t { 8 };

/** A new interval moves the average by one part in this many. */
constexpr auto smoothing = 4;

} // namespace

auto WaitEstimator::noteTaken(
    Time now, OrganisationId organisation, RequestClass requestClass, std::size_t left) -> void
{
    auto& pace = paces_[{ organisation, requestClass }];
    if (pace.backlogged) {
        const auto interval = now - pace.lastTaken;
        pace.interval = pace.samples == 0 ? interval : pace.interval + (interval - pace.interval) / smoothing;
        pace.samples = std::min(pace.samples + 1, enoughSamples);
    }
    pace.lastTaken = now;
    pace.backlogged = left > 0;
}

auto WaitEstimator::estimate(OrganisationId organisation, RequestClass requestClass, std::size_t ahead) const
    -> std::optional<Duration>
{
    const auto found = paces_.find({ organisation, requestClass });
    if (found == paces_.end() || found->second.samples < enoughSamples)
        return std::nullopt;
    return found->second.interval * static_cast<Duration::rep>(ahead);
}

} // namespace camphorshunt
