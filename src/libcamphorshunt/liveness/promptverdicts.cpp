#include "promptquarantine.h"

#include <algorithm>
#include <utility>

// Proof that engines have ended, and the verdicts on prompt parts that follow from it.

namespace camphorshunt {

namespace {

using Proof = CrashEvidence::Proof;

/** Sets of parts that are suspected at a time. */
constexpr auto maxSuspicions = std::size_t { 64 };
/** An answer so soon after the break is of the process that broke off, as no other can have replaced it. */
constexpr auto lifeProofTime = Duration(std::chrono::seconds(1));

} // namespace

auto PromptQuarantine::judgeLater(Time now, const UpstreamProcess& engine) -> void
{
    if (!toBeJudged_.insert(engine.upstream).second)
        return;
    toBeSuspected_.emplace_back(now + reportSpread, engine);
    verdicts_.push_back({ now + verdictDelay, engine, {} });
}

auto PromptQuarantine::suspectDue(Time now) -> void
{
    for (; !toBeSuspected_.empty() && toBeSuspected_.front().first <= now; toBeSuspected_.pop_front()) {
        if (!places_)
            continue;
        const auto& engine = toBeSuspected_.front().second;
        for (auto& parts : evidence_.suspectsOf(engine, crashLimit, Proof::NotRequired))
            suspect(now, std::move(parts));
    }
}

auto PromptQuarantine::suspect(Time now, std::vector<std::uint64_t> parts) -> void
{
    for (const auto& engine : evidence_.unprovenWith(parts))
        queries_.request(now, engine);
    const auto isKnown = std::ranges::find(suspicions_, parts, &Suspicion::parts) != suspicions_.end();
    if (isKnown || suspicions_.size() >= maxSuspicions || isCovered(parts))
        return;
    noteConcerned(parts);
    suspicions_.push_back({ std::move(parts), now + maxHold });
}

auto PromptQuarantine::settle(Time now) -> void
{
    clearLasting(now);
    reportCrashes(now);
    suspectDue(now);
    for (; !verdicts_.empty() && verdicts_.front().due <= now; verdicts_.pop_front()) {
        const auto& verdict = verdicts_.front();
        if (verdict.tried.empty()) {
            toBeJudged_.erase(verdict.engine.upstream);
            judge(now, verdict.engine);
        } else {
            judgeTrial(now, verdict);
        }
    }
    dropUndecided(now);
    std::erase_if(suspicions_, [now](const Suspicion& suspicion) { return suspicion.until <= now; });
}

auto PromptQuarantine::judge(Time now, const UpstreamProcess& engine) -> void
{
    if (!places_)
        return;
    for (auto& parts : evidence_.suspectsOf(engine, crashLimit, Proof::Required))
        quarantine(now, std::move(parts), engine.upstream);
}

auto PromptQuarantine::judgeTrial(Time now, const Verdict& verdict) -> void
{
    const auto found = find(verdict.tried);
    if (found == quarantines_.end() || !found->trial)
        return;
    if (places_ && evidence_.hasEnded(verdict.engine)) {
        prolong(now, *found, verdict.engine.upstream);
        return;
    }
    found->trial.reset();
    // Nothing shows whether the engine survived the request, so that the next one is not tried at once.
    if (places_ && evidence_.mayHaveEnded(verdict.engine))
        found->until = now + found->length;
}

auto PromptQuarantine::dropUndecided(Time now) -> void
{
    // The directory still lists these engines, and they may have served other requests since.
    for (const auto& engine : queries_.takeUndecided(now)) {
        if (!evidence_.hasEnded(engine))
            evidence_.dropEnd(engine);
    }
}

auto PromptQuarantine::dropUnsupported() -> void
{
    std::erase_if(suspicions_,
        [this](const Suspicion& suspicion) { return evidence_.enginesWith(suspicion.parts) < crashLimit; });
}

auto PromptQuarantine::recordQuery(Time now, const UpstreamProcess& engine, const EngineQueryResult& result)
    -> EngineState
{
    const auto brokeOffAt = evidence_.brokeOffAt(engine);
    const auto state = engineStateOf(engine, result, now - brokeOffAt.value_or(now));
    if (!brokeOffAt || state == EngineState::Unknown)
        return state;
    queries_.forget(engine);
    if (state == EngineState::Ended) {
        recordEnd(now, engine);
        return state;
    }
    evidence_.dropEnd(engine);
    if (reportedEngines_.erase(engine.upstream) > 0)
        crashReports_.push_back({ engine, {}, now, now, true });
    dropUnsupported();
    return state;
}

auto PromptQuarantine::recordEnd(Time now, const UpstreamProcess& engine) -> void
{
    if (!evidence_.recordEnd(engine))
        return;
    if (!toBeJudged_.contains(engine.upstream))
        judge(now, engine);
}

auto PromptQuarantine::recordDirectory(Time now, std::span<const UpstreamEntry> entries) -> void
{
    // A configuration may arrive before the directory.
    if (entries.empty())
        return;
    for (const auto& engine : evidence_.recordDirectory(entries)) {
        queries_.forget(engine);
        if (!toBeJudged_.contains(engine.upstream))
            judge(now, engine);
    }
}

auto PromptQuarantine::revoke(Time now, const UpstreamProcess& living) -> void
{
    std::erase_if(quarantines_, [&](Quarantine& quarantine) {
        const auto erased = std::erase_if(quarantine.ended,
            [&](const auto& ended) { return ended.first == living && now - ended.second <= lifeProofTime; });
        if (erased == 0 || quarantine.ended.size() >= crashLimit)
            return false;
        reportRelease(now, quarantine.parts);
        return true;
    });
}

} // namespace camphorshunt
