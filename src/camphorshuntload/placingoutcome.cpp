#include "placingoutcome.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <span>
#include <sstream>

#include <boost/json/array.hpp>

#include "organisationqueues.h"

namespace camphorshunt::load {

namespace {

/** Length of the windows in which shares are compared. */
constexpr auto windowSeconds = std::size_t { 6 };
/**
 * Tolerance of a comparison of shares, in largest requests: service is granted in complete requests, so that
 * shares cannot match exactly.
 */
constexpr auto excludedRequests = 3.0;
/** The placers have learnt the engines' rates after this time. */
constexpr auto warmUpTime = std::chrono::seconds(3);
constexpr auto tenthOfSecond = std::chrono::milliseconds(100);

auto add(FateCounts& counts, RequestFate fate, const PlannedKind& kind) -> void
{
    ++counts.requested;
    counts.attainable += kind.worth;
    switch (fate) {
    case RequestFate::InTime:
        ++counts.inTime;
        counts.earned += kind.worth;
        break;
    case RequestFate::Late:
        ++counts.late;
        counts.earned += kind.lateWorth;
        break;
    case RequestFate::Refused:
        ++counts.refused;
        break;
    case RequestFate::Failed:
        ++counts.failed;
        break;
    }
}

auto sum(FateCounts total, const FateCounts& more) -> FateCounts
{
    total.requested += more.requested;
    total.inTime += more.inTime;
    total.late += more.late;
    total.refused += more.refused;
    total.failed += more.failed;
    total.earned += more.earned;
    total.attainable += more.attainable;
    return total;
}

auto toJson(const FateCounts& counts) -> boost::json::object
{
    return { { "asked", counts.requested }, { "inTime", counts.inTime }, { "late", counts.late },
        { "refused", counts.refused }, { "failed", counts.failed }, { "worth", counts.worth() } };
}

auto writeRow(std::ostream& out, std::string_view name, const FateCounts& counts) -> void
{
    out << std::left << std::setw(20) << name << std::right << std::setw(8) << counts.requested
        << std::setw(8) << counts.inTime << std::setw(8) << counts.late << std::setw(9) << counts.refused
        << std::setw(8) << counts.failed << std::setw(8) << std::fixed << std::setprecision(3)
        << counts.worth() << "\n";
}

} // namespace

PlacingOutcome::PlacingOutcome(const PlacingPlan& plan)
    : plan_(plan)
    , kinds_(plan.kinds.size())
    , organisations_(plan.organisations)
    , seconds_(plan.organisations)
{
}

auto PlacingOutcome::secondOf(Time now, std::size_t organisation) -> Second&
{
    const auto second
        = std::size_t(std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count());
    auto& series = seconds_.at(organisation);
    if (series.size() <= second)
        series.resize(second + 1);
    return series[second];
}

auto PlacingOutcome::recordRequest(Time now, const SimulatedRequest& request) -> void
{
    secondOf(now, request.organisation).requested += costOf(request.request.prompt);
}

auto PlacingOutcome::recordExecutionStart(Time now, const SimulatedRequest& request) -> void
{
    secondOf(now, request.organisation).begun += costOf(request.request.prompt);
}

auto PlacingOutcome::recordWait(Time now, const SimulatedRequest& request) -> void
{
    secondOf(now, request.organisation).waited = true;
}

auto PlacingOutcome::recordEnd(const SimulatedRequest& request, RequestFate fate) -> void
{
    const auto& kind = plan_.kinds[request.kind];
    add(kinds_[request.kind], fate, kind);
    add(organisations_[request.organisation], fate, kind);
    if (request.isRetry)
        add(retries_, fate, kind);
}

auto PlacingOutcome::recordRetry(Time now) -> void
{
    const auto tenth = std::size_t(now.time_since_epoch() / tenthOfSecond);
    if (retriesByTenth_.size() <= tenth)
        retriesByTenth_.resize(tenth + 1);
    ++retriesByTenth_[tenth];
}

auto PlacingOutcome::recordFirstToken(Time placed, Duration predicted, Duration seen) -> void
{
    const auto error = std::chrono::duration<double, std::milli>(seen - predicted).count();
    (placed.time_since_epoch() < warmUpTime ? firstErrors_ : laterErrors_).push_back(error);
}

auto PlacingOutcome::recordEngineTotals(
    std::uint64_t tokensRead, std::uint64_t tokensCopied, std::uint64_t preemptions) -> void
{
    tokensRead_ = tokensRead;
    tokensCopied_ = tokensCopied;
    preemptions_ = preemptions;
}

auto PlacingOutcome::total() const -> FateCounts
{
    return std::accumulate(kinds_.begin(), kinds_.end(), FateCounts {}, sum);
}

auto PlacingOutcome::seconds() const -> std::size_t
{
    auto length = std::size_t { 0 };
    for (const auto& series : seconds_)
        length = std::max(length, series.size());
    return length;
}

auto PlacingOutcome::largestRequest() const -> double
{
    auto largest = 0.0;
    for (const auto& kind : plan_.kinds)
        largest = std::max(largest, kind.ownTokens.maximum);
    return largest;
}

auto PlacingOutcome::worstShareBySecond() const -> double
{
    auto best = std::vector<double>(seconds());
    for (const auto& series : seconds_) {
        for (auto at = std::size_t { 0 }; at < series.size(); ++at)
            best[at] = std::max(best[at], series[at].begun);
    }
    auto worst = 1.0;
    for (auto begin = std::size_t { 0 }; begin + windowSeconds <= best.size(); ++begin) {
        for (const auto& series : seconds_) {
            if (series.size() < begin + windowSeconds)
                continue;
            const auto window = std::span(series).subspan(begin, windowSeconds);
            if (!std::ranges::all_of(window, &Second::waited))
                continue;
            auto fair = -excludedRequests * largestRequest();
            auto begun = 0.0;
            for (auto index = std::size_t { 0 }; index < window.size(); ++index) {
                fair += std::min(best[begin + index], window[index].requested);
                begun += window[index].begun;
            }
            if (fair > 0)
                worst = std::min(worst, begun / fair);
        }
    }
    return worst;
}

auto PlacingOutcome::worstShare() const -> double
{
    const auto length = seconds();
    const auto largest = largestRequest();
    auto worst = 1.0;
    for (auto begin = std::size_t { 0 }; begin + windowSeconds <= length; ++begin) {
        auto best = 0.0;
        const auto sumInWindow = [&](const std::vector<Second>& series, auto value) {
            auto result = 0.0;
            for (auto at = begin; at < std::min(begin + windowSeconds, series.size()); ++at)
                result += value(series[at]);
            return result;
        };
        const auto begunOf = [&](const std::vector<Second>& series) {
            return sumInWindow(series, [](const Second& second) { return second.begun; });
        };
        for (const auto& series : seconds_)
            best = std::max(best, begunOf(series));
        for (const auto& series : seconds_) {
            const auto waited
                = sumInWindow(series, [](const Second& second) { return second.waited ? 1.0 : 0.0; });
            if (waited < double(windowSeconds))
                continue;
            const auto requested = sumInWindow(series, [](const Second& second) { return second.requested; });
            const auto fair = std::min(requested, best) - excludedRequests * largest;
            if (fair > 0)
                worst = std::min(worst, begunOf(series) / fair);
        }
    }
    return worst;
}

auto PlacingOutcome::retryPeak() const -> double
{
    const auto count = std::ranges::count_if(retriesByTenth_, [](auto value) { return value > 0; });
    if (count == 0)
        return 0;
    const auto all = std::accumulate(retriesByTenth_.begin(), retriesByTenth_.end(), std::uint64_t { 0 });
    return double(*std::ranges::max_element(retriesByTenth_)) * double(count) / double(all);
}

auto PlacingOutcome::predictionError(double quantile, bool warmedUp) const -> double
{
    auto errors = warmedUp ? laterErrors_ : firstErrors_;
    if (errors.empty())
        return 0;
    const auto at = std::min(errors.size() - 1, std::size_t(quantile * double(errors.size())));
    std::ranges::nth_element(errors, errors.begin() + static_cast<std::ptrdiff_t>(at));
    return errors[at];
}

auto PlacingOutcome::text() const -> std::string
{
    auto out = std::ostringstream {};
    out << std::left << std::setw(20) << "" << std::right << std::setw(8) << "asked" << std::setw(8)
        << "in time" << std::setw(8) << "late" << std::setw(9) << "refused" << std::setw(8) << "failed"
        << std::setw(8) << "worth"
        << "\n";
    writeRow(out, "all", total());
    for (auto kind = std::size_t { 0 }; kind < kinds_.size(); ++kind)
        writeRow(out, plan_.kinds[kind].name, kinds_[kind]);
    writeRow(out, "came again", retries_);
    out << "worst share of an organisation in six seconds: " << worstShare()
        << ", second by second: " << worstShareBySecond() << "\n"
        << "returns in the busiest tenth of a second against the mean: " << retryPeak() << "\n"
        << "million tokens read: " << double(tokensRead_) / 1e6 << ", copied: " << double(tokensCopied_) / 1e6
        << "; preempted: " << preemptions_ << "\n"
        << "sent to engines that refused or ended: " << sentInVain_ << "\n";
    for (const auto warmedUp : { false, true }) {
        out << "first token, seen less predicted, ms, " << (warmedUp ? "later" : "in the first seconds")
            << ":";
        for (const auto quantile : { 0.05, 0.25, 0.5, 0.75, 0.95 })
            out << "  " << std::setprecision(0) << quantile * 100
                << "%: " << predictionError(quantile, warmedUp);
        out << "\n";
    }
    return out.str();
}

auto PlacingOutcome::json() const -> boost::json::object
{
    auto kinds = boost::json::object {};
    for (auto kind = std::size_t { 0 }; kind < kinds_.size(); ++kind)
        kinds[plan_.kinds[kind].name] = toJson(kinds_[kind]);
    auto organisations = boost::json::array {};
    for (const auto& counts : organisations_)
        organisations.push_back(toJson(counts));
    return { { "seed", plan_.seed }, { "all", toJson(total()) }, { "kinds", kinds },
        { "organisations", organisations }, { "returns", toJson(retries_) }, { "worstShare", worstShare() },
        { "worstShareBySecond", worstShareBySecond() }, { "returnsPeak", retryPeak() },
        { "tokensRead", tokensRead_ }, { "tokensCopied", tokensCopied_ }, { "preemptions", preemptions_ },
        { "sentInVain", sentInVain_ }, { "predictionErrorMedianMs", predictionError(0.5, true) },
        { "predictionErrorMostMs", predictionError(0.95, true) } };
}

} // namespace camphorshunt::load
