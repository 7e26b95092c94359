#include "placer.h"

#include <algorithm>
#include <cmath>
#include <functional>

// What the placer refuses, and when the callers of refused requests are to retry.

namespace camphorshunt {

namespace {

using std::chrono::milliseconds;

/** Bounds of the time after which the caller of a refused request should retry. */
constexpr auto minRetryAfter = milliseconds(200);
constexpr auto maxRetryAfter = milliseconds(4000);
/** Callers that are to retry after the end of a rest return over this time. */
constexpr auto returnSpread = milliseconds(250);

} // namespace

auto Placer::retryAfter(Time now, const WaitingRequest& waiting, Time earliest) -> milliseconds
{
    auto spread = std::uniform_real_distribution<double>(0.8, 1.6);
    const auto wait = std::chrono::duration<double, std::milli>(expectedWait(now, waiting)).count();
    const auto clearing = std::max(wait, double(minRetryAfter.count())) * spread(random_);
    const auto usual
        = std::clamp(milliseconds(static_cast<milliseconds::rep>(clearing)), minRetryAfter, maxRetryAfter);
    if (earliest <= now)
        return usual;
    auto later = std::uniform_int_distribution<milliseconds::rep>(1, returnSpread.count());
    const auto pause = std::chrono::ceil<milliseconds>(earliest - now) + milliseconds(later(random_));
    return std::max(usual, pause);
}

auto Placer::refuse(Time now, const WaitingRequest& waiting, RefusalReason reason, Time earliest) -> void
{
    const auto inputs
        = PlacementInputs { std::chrono::duration_cast<milliseconds>(expectedWait(now, waiting)), 0,
              static_cast<std::uint32_t>(queues_.size()) };
    shares_.recordRefused(waiting.request.organisation);
    decisions_.emplace_back(
        PlacementRefused { waiting.request.key, reason, retryAfter(now, waiting, earliest), inputs });
}

auto Placer::refuseLate(Time now) -> void
{
    if (now < nextRefusal_)
        return;
    const auto late
        = queues_.removeIf([now](const WaitingRequest& waiting) { return now >= waiting.refuseAt; });
    nextRefusal_ = queues_.firstRefusal().value_or(Time::max());
    for (const auto& waiting : late)
        refuse(now, waiting, RefusalReason::Waited);
}

auto Placer::refuseQuarantined(Time now) -> void
{
    const auto blocked = queues_.removeIf(
        [this, now](const WaitingRequest& waiting) { return quarantineEnd(now, waiting).has_value(); });
    for (const auto& waiting : blocked)
        refuse(now, waiting, RefusalReason::Quarantined, quarantineEnd(now, waiting).value_or(now));
}

auto Placer::takeReports(std::size_t limit) -> std::vector<OrganisationReport>
{
    auto reports = std::vector<OrganisationReport> {};
    for (const auto& [organisation, share] : shares_.take()) {
        const auto state = queues_.stateOf(organisation);
        if (state.waiting + share.refused > 0)
            reports.push_back({ organisation, share, state.waiting, state.relativeService });
    }
    std::ranges::sort(reports, std::greater {},
        [](const OrganisationReport& report) { return report.waiting + report.share.refused; });
    reports.resize(std::min(reports.size(), limit));
    return reports;
}

} // namespace camphorshunt
