#include "measurements.h"

#include <algorithm>
#include <utility>

namespace camphorshunt::load {

Measurements::Measurements(const Plan& plan)
    : plan_(plan)
    , organisations_(plan.organisations.size())
{
    for (const auto& organisation : plan.organisations)
        series_.push_back({ organisation.name, organisation.weight, {} });
}

auto Measurements::recordSent(std::size_t organisation) -> void
{
    auto& organisationState = organisations_[organisation];
    ++organisationState.counts.sent;
    ++organisationState.waiting;
    ++inProgress_;
}

auto Measurements::recordWaitEnd(std::size_t organisation) -> void
{
    auto& organisationState = organisations_[organisation];
    if (--organisationState.waiting == 0)
        organisationState.idled = true;
}

auto Measurements::recordFirstToken(std::size_t organisation, double waitedSeconds, double promptUnits)
    -> void
{
    waits_[plan_.organisations[organisation].waitClass].add(waitedSeconds);
    organisations_[organisation].service += promptUnits;
}

auto Measurements::recordTokens(std::size_t organisation, std::uint64_t count) -> void
{
    organisations_[organisation].counts.outputTokens += count;
    organisations_[organisation].service += static_cast<double>(count);
}

auto Measurements::recordEnd(std::size_t organisation, std::uint64_t Counts::*counter, double units) -> void
{
    ++(organisations_[organisation].counts.*counter);
    --inProgress_;
    largestRequest_ = std::max(largestRequest_, units);
}

auto Measurements::startMeasuring() -> void
{
    waits_.clear();
    largestRequest_ = 0;
    for (auto at = std::size_t {}; at < organisations_.size(); ++at) {
        organisations_[at].counts = {};
        series_[at].samples.clear();
    }
}

auto Measurements::sample() -> void
{
    for (auto at = std::size_t {}; at < organisations_.size(); ++at) {
        auto& organisation = organisations_[at];
        const auto idled = std::exchange(organisation.idled, organisation.waiting == 0);
        series_[at].samples.push_back({ organisation.service, !idled });
    }
}

auto Measurements::total() const -> Counts
{
    auto total = Counts {};
    for (const auto& organisation : organisations_) {
        total.sent += organisation.counts.sent;
        total.done += organisation.counts.done;
        total.refused += organisation.counts.refused;
        total.failed += organisation.counts.failed;
        total.outputTokens += organisation.counts.outputTokens;
    }
    return total;
}

} // namespace camphorshunt::load
