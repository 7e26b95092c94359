#include "promptquarantine.h"

#include <algorithm>
#include <utility>

namespace camphorshunt {

namespace {

using namespace std::chrono_literals;

constexpr auto firstQuarantine = Duration(15s);
constexpr auto maxQuarantine = Duration(600s);
/** Ratio of a quarantine's length to that of the one before it. */
constexpr auto quarantineGrowth = 4;
/** Wait of other requests while one is tried. */
constexpr auto trialTime = Duration(1s);
/** Reports on an engine from before its crash may arrive for so long after it. */
constexpr auto maxReportLag = Duration(150ms);
/** Crashes that lie further apart are not counted together. */
constexpr auto crashMemory = Duration(3600s);

auto isSignOfLife(PlacementEnd end) -> bool
{
    return end == PlacementEnd::Finished || end == PlacementEnd::Full || end == PlacementEnd::Failed;
}

auto showsLife(Time now, Time crashedAt, Time placedAt) -> bool
{
    return placedAt > crashedAt || now - crashedAt >= maxReportLag;
}

} // namespace

auto PromptQuarantine::blockedUntil(Time now, std::span<const PromptPart> parts) const -> std::optional<Time>
{
    auto until = std::optional<Time> {};
    if (suspects_.empty())
        return until;
    for (const auto& part : sharedParts(parts)) {
        const auto found = suspects_.find(part.id);
        if (found == suspects_.end())
            continue;
        const auto& suspect = found->second;
        auto free = suspect.verdictDue.value_or(now);
        if (suspect.isQuarantined())
            free = suspect.trial ? std::max(now, suspect.until) + trialTime : suspect.until;
        if (free > now)
            until = std::max(until.value_or(free), free);
    }
    return until;
}

auto PromptQuarantine::recordPlaced(Time now, const PlacementKey& key, std::span<const PromptPart> parts)
    -> void
{
    auto& request = requests_[key];
    request = { {}, now, std::nullopt };
    for (const auto& part : sharedParts(parts)) {
        request.parts.push_back(part.id);
        const auto found = suspects_.find(part.id);
        if (found == suspects_.end() || !found->second.isQuarantined())
            continue;
        found->second.trial = key;
        hasNewBlock_ = true;
    }
    if (request.parts.empty())
        requests_.erase(key);
}

auto PromptQuarantine::recordStarted(Time now, const PlacementKey& key, const UpstreamProcess& engine) -> void
{
    clearLasting(now);
    const auto found = requests_.find(key);
    if (found == requests_.end() || found->second.startedAt)
        return;
    recordLife(now, engine, found->second.placedAt);
    found->second.startedAt = now;
    started_.emplace_back(now, key);
}

auto PromptQuarantine::recordEnded(
    Time now, const PlacementKey& key, PlacementEnd end, const UpstreamProcess& engine) -> void
{
    clearLasting(now);
    const auto found = requests_.find(key);
    if (found == requests_.end())
        return;
    const auto request = std::move(found->second);
    requests_.erase(found);
    const auto hasLasted = request.startedAt && now - *request.startedAt >= lastingAnswer;
    if (isSignOfLife(end))
        recordLife(now, engine, request.placedAt);
    if (end == PlacementEnd::Broken && !hasLasted) {
        recordCrash(now, key, request, engine);
        return;
    }
    if (end == PlacementEnd::Finished)
        clear(now, request);
    endTrials(key, request);
}

auto PromptQuarantine::recordLife(Time now, const UpstreamProcess& engine, Time placedAt) -> void
{
    const auto crashed = crashedEngines_.find(engine.upstream);
    if (crashed == crashedEngines_.end() || !showsLife(now, crashed->second, placedAt))
        return;
    crashedEngines_.erase(crashed);
    absl::erase_if(suspects_, [&engine](auto& entry) {
        auto& suspect = entry.second;
        const auto disproved = std::erase_if(
            suspect.crashes, [&engine](const Crash& crash) { return crash.engine == engine; });
        if (!suspect.isConvicted())
            suspect.verdictDue.reset();
        return disproved > 0 && suspect.crashes.empty() && !suspect.isQuarantined();
    });
}

auto PromptQuarantine::forget(const PlacementKey& key) -> void
{
    const auto found = requests_.find(key);
    if (found == requests_.end())
        return;
    endTrials(key, found->second);
    requests_.erase(found);
}

auto PromptQuarantine::endTrials(const PlacementKey& key, const Request& request) -> void
{
    for (const auto part : request.parts) {
        const auto suspect = suspects_.find(part);
        if (suspect != suspects_.end() && suspect->second.trial == key)
            suspect->second.trial.reset();
    }
}

auto PromptQuarantine::clearLasting(Time now) -> void
{
    for (; !started_.empty() && now - started_.front().first >= lastingAnswer; started_.pop_front()) {
        const auto& [startedAt, key] = started_.front();
        const auto found = requests_.find(key);
        if (found != requests_.end() && found->second.startedAt == startedAt)
            clear(now, found->second);
    }
}

auto PromptQuarantine::clear(Time now, const Request& request) -> void
{
    if (suspects_.empty())
        return;
    for (const auto part : request.parts) {
        const auto found = suspects_.find(part);
        if (found == suspects_.end())
            continue;
        if (found->second.isQuarantined()) {
            // Only a request that was placed after the quarantine shows that engines bear the part now.
            if (request.placedAt < found->second.until)
                continue;
            changes_.push_back({ { part, now, {}, true }, 0, {} });
        }
        suspects_.erase(found);
    }
}

auto PromptQuarantine::recordCrash(
    Time now, const PlacementKey& key, const Request& request, const UpstreamProcess& engine) -> void
{
    const auto due = now + lifeSignTime;
    if (const auto known = findQuarantined(request.parts)) {
        // Requests that were placed before the quarantine say nothing new about the other parts.
        auto& suspect = suspects_.at(*known);
        if (suspect.trial != key)
            return;
        suspect.crashes = { { engine, now } };
        recordCrashed(now, engine);
        verdicts_.push_back({ due, *known, {} });
        return;
    }
    auto convicted = std::optional<std::uint64_t> {};
    for (const auto part : request.parts) {
        auto& suspect = observe(now, part);
        auto& crashes = suspect.crashes;
        if (std::ranges::find(crashes, engine, &Crash::engine) != crashes.end()
            || (!crashes.empty() && request.placedAt <= suspect.lastCrash))
            continue;
        crashes.push_back({ engine, now });
        recordCrashed(now, engine);
        suspect.lastCrash = now;
        if (suspect.isConvicted())
            convicted = part;
    }
    if (!convicted || suspects_.at(*convicted).verdictDue)
        return;
    suspects_.at(*convicted).verdictDue = due;
    hasNewBlock_ = true;
    verdicts_.push_back({ due, *convicted, request.parts });
}

auto PromptQuarantine::recordCrashed(Time now, const UpstreamProcess& engine) -> void
{
    if (crashedEngines_.size() >= maxParts && !crashedEngines_.contains(engine.upstream)) {
        // An engine that has shown no sign of life for longest is the least likely to show one.
        crashedEngines_.erase(std::ranges::min_element(
            crashedEngines_, {}, [](const auto& crashed) { return crashed.second; }));
    }
    crashedEngines_[engine.upstream] = now;
}

auto PromptQuarantine::settle(Time now) -> void
{
    clearLasting(now);
    for (; !verdicts_.empty() && verdicts_.front().due <= now; verdicts_.pop_front()) {
        const auto& verdict = verdicts_.front();
        const auto found = suspects_.find(verdict.part);
        if (found == suspects_.end() || !found->second.awaitsVerdict(now))
            continue;
        if (!found->second.isConvicted()) {
            found->second.trial.reset();
            found->second.verdictDue.reset();
            continue;
        }
        quarantine(now, verdict.part);
        for (const auto part : verdict.parts) {
            if (part != verdict.part && suspects_.contains(part) && !suspects_.at(part).isQuarantined())
                suspects_.erase(part);
        }
    }
}

auto PromptQuarantine::findQuarantined(std::span<const std::uint64_t> parts) const
    -> std::optional<std::uint64_t>
{
    for (const auto part : parts) {
        const auto found = suspects_.find(part);
        if (found != suspects_.end() && found->second.isQuarantined())
            return part;
    }
    return std::nullopt;
}

auto PromptQuarantine::quarantine(Time now, std::uint64_t part) -> void
{
    auto& suspect = suspects_.at(part);
    suspect.length = suspect.isQuarantined() ? std::min(suspect.length * quarantineGrowth, maxQuarantine)
                                             : firstQuarantine;
    suspect.until = now + suspect.length;
    suspect.lastCrash = now;
    suspect.trial.reset();
    suspect.verdictDue.reset();
    hasNewBlock_ = true;
    changes_.push_back({ { part, suspect.until, suspect.length, false },
        static_cast<std::uint32_t>(suspect.crashes.size()), suspect.crashes.back().engine.upstream });
    suspect.crashes.clear();
}

auto PromptQuarantine::observe(Time now, std::uint64_t part) -> Suspect&
{
    const auto found = suspects_.find(part);
    if (found == suspects_.end() && suspects_.size() >= maxParts)
        evict();
    auto& suspect = suspects_[part];
    if (!suspect.isQuarantined() && now - suspect.lastCrash > crashMemory)
        suspect.crashes.clear();
    return suspect;
}

auto PromptQuarantine::evict() -> void
{
    const auto isLessUseful = [](const auto& left, const auto& right) {
        return std::pair(left.second.isQuarantined(), left.second.lastCrash)
            < std::pair(right.second.isQuarantined(), right.second.lastCrash);
    };
    suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(), isLessUseful));
}

auto PromptQuarantine::apply(Time now, const QuarantinedPart& told) -> bool
{
    const auto found = suspects_.find(told.part);
    if (told.released) {
        if (found == suspects_.end() || !found->second.isQuarantined())
            return false;
        suspects_.erase(found);
        return true;
    }
    if (found != suspects_.end() && found->second.length >= told.length)
        return false;
    auto& suspect = observe(now, told.part);
    suspect.length = told.length;
    suspect.until = told.until;
    suspect.lastCrash = now;
    suspect.trial.reset();
    suspect.verdictDue.reset();
    suspect.crashes.clear();
    hasNewBlock_ = true;
    return true;
}

auto PromptQuarantine::quarantined() const -> std::vector<QuarantinedPart>
{
    auto parts = std::vector<QuarantinedPart> {};
    for (const auto& [part, suspect] : suspects_) {
        if (suspect.isQuarantined())
            parts.push_back({ part, suspect.until, suspect.length, false });
    }
    return parts;
}

} // namespace camphorshunt
