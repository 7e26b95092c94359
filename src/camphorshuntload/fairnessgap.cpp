#include "fairnessgap.h"

#include <algorithm>

namespace camphorshunt::load {

namespace {

/** One pass suffices: the worst window ending at a sample begins at the lowest or highest earlier one. */
auto pairGap(const ServiceSeries& first, const ServiceSeries& second) -> PairGap
{
    auto gap = PairGap { first.organisation, second.organisation, 0.0, 0, 0 };
    const auto size = std::min(first.samples.size(), second.samples.size());
    const auto difference = [&](std::size_t at) {
        return (first.samples[at].service - second.samples[at].service) / first.weight;
    };
    auto lowest = 0.0;
    auto highest = 0.0;
    auto inInterval = false;
    for (auto at = std::size_t { 1 }; at < size; ++at) {
        if (!first.samples[at].backlogged || !second.samples[at].backlogged) {
            inInterval = false;
            continue;
        }
        if (!inInterval)
            lowest = highest = difference(at - 1);
        inInterval = true;
        ++gap.samples;
        const auto here = difference(at);
        const auto widest = std::max(here - lowest, highest - here);
        if (widest > gap.units) {
            gap.units = widest;
            gap.worstAt = at;
        }
        lowest = std::min(lowest, here);
        highest = std::max(highest, here);
    }
    return gap;
}

} // namespace

auto fairnessGaps(std::span<const ServiceSeries> series) -> std::vector<PairGap>
{
    auto gaps = std::vector<PairGap> {};
    for (auto first = series.begin(); first != series.end(); ++first) {
        for (auto second = first + 1; second != series.end(); ++second) {
            if (first->weight != second->weight)
                continue;
            auto gap = pairGap(*first, *second);
            if (gap.samples > 0)
                gaps.push_back(std::move(gap));
        }
    }
    std::ranges::stable_sort(gaps, std::ranges::greater {}, &PairGap::units);
    return gaps;
}

} // namespace camphorshunt::load
