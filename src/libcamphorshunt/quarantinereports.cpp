#include "promptquarantine.h"

#include <algorithm>
#include <utility>

// What routers tell each other of crashes, so that the evidence outlives the router that places.

namespace camphorshunt {

namespace {

using namespace std::chrono_literals;

/** Time for a live engine to answer another request, before other routers are told that it has ended. */
constexpr auto reportDelay = Duration(200ms);
constexpr auto reportPeriod = Duration(1s);
constexpr auto maxReportsPerPeriod = std::size_t { 32 };
/** Broken requests of which a new placer is told. */
constexpr auto maxReportsAtHandover = std::size_t { 128 };

} // namespace

auto PromptQuarantine::reportCrashes(Time now) -> void
{
    if (now - reportPeriod_ >= reportPeriod) {
        reportPeriod_ = now;
        reportsInPeriod_ = 0;
    }
    for (; !unreported_.empty() && now - unreported_.front().brokenAt >= reportDelay;
         unreported_.pop_front()) {
        auto& report = unreported_.front();
        if (reportsInPeriod_ >= maxReportsPerPeriod || !evidence_.mayHaveEnded(report.engine))
            continue;
        report.isProven = evidence_.hasEnded(report.engine);
        ++reportsInPeriod_;
        if (reportedEngines_.size() >= CrashEvidence::maxEngines)
            reportedEngines_.clear();
        reportedEngines_.insert(report.engine.upstream);
        crashReports_.push_back(std::move(report));
    }
}

auto PromptQuarantine::applyCrash(Time now, const CrashReport& told) -> bool
{
    if (told.isDisproved)
        return evidence_.dropEnd(told.engine);
    const auto isKnown = [&told](const CrashReport& known) {
        return known.engine == told.engine && containsAll(known.parts, told.parts);
    };
    if (std::ranges::any_of(evidence_.reports(), isKnown))
        return false;
    const auto isExplained
        = [&told](const Quarantine& quarantine) { return containsAll(told.parts, quarantine.parts); };
    if (std::ranges::any_of(quarantines_, isExplained))
        return false;
    evidence_.recordBreak(std::min(now, told.brokenAt), told.engine, { told.parts, told.placedAt });
    if (told.isProven)
        evidence_.recordEnd(told.engine);
    // The others learn from the router that places whether the engine lives.
    if (places_) {
        reportedEngines_.insert(told.engine.upstream);
        judgeLater(now, told.engine);
    }
    return true;
}

auto PromptQuarantine::crashReports() const -> std::vector<CrashReport>
{
    auto reports = evidence_.reports();
    if (reports.size() > maxReportsAtHandover)
        reports.erase(reports.begin(), reports.end() - maxReportsAtHandover);
    return reports;
}

auto PromptQuarantine::setPlaces(Time now, bool places) -> void
{
    if (places == places_)
        return;
    places_ = places;
    verdicts_.clear();
    toBeJudged_.clear();
    toBeSuspected_.clear();
    suspicions_.clear();
    queries_.clear();
    for (auto& quarantine : quarantines_)
        quarantine.trial.reset();
    if (!places)
        return;
    for (const auto& report : evidence_.reports())
        judgeLater(now, report.engine);
}

} // namespace camphorshunt
