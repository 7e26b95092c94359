#include "promptquarantine.h"

#include <algorithm>
#include <iterator>
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
auto isSignOfLife(PlacementEnd end) -> bool
{
    return end == PlacementEnd::Finished || end == PlacementEnd::Full || end == PlacementEnd::Failed;
}

auto idsOf(std::span<const PromptPart> parts) -> std::vector<std::uint64_t>
{
    auto ids = std::vector<std::uint64_t> {};
    ids.reserve(parts.size());
    for (const auto& part : parts)
        ids.push_back(part.id);
    return ids;
}

} // namespace

auto PromptQuarantine::quarantinedUntil(Time now, std::span<const std::uint64_t> ids) const
    -> std::optional<Time>
{
    auto until = std::optional<Time> {};
    for (const auto& quarantine : quarantines_) {
        if (!containsAll(ids, quarantine.parts))
            continue;
        const auto free = quarantine.trial ? std::max(now, quarantine.until) + trialTime : quarantine.until;
        if (free > now)
            until = std::max(until.value_or(free), free);
    }
    return until;
}

auto PromptQuarantine::refusedUntil(Time now, std::span<const PromptPart> parts) const -> std::optional<Time>
{
    if (concernedParts_.empty())
        return std::nullopt;
    const auto ids = idsOf(sharedParts(parts));
    return mayConcern(ids) ? quarantinedUntil(now, ids) : std::nullopt;
}

auto PromptQuarantine::blockedUntil(Time now, std::span<const PromptPart> parts) const -> std::optional<Time>
{
    if (concernedParts_.empty())
        return std::nullopt;
    const auto ids = idsOf(sharedParts(parts));
    if (!mayConcern(ids))
        return std::nullopt;
    auto until = quarantinedUntil(now, ids);
    for (const auto& suspicion : suspicions_) {
        if (suspicion.until > now && containsAll(ids, suspicion.parts))
            until = std::max(until.value_or(suspicion.until), suspicion.until);
    }
    return until;
}

auto PromptQuarantine::recordPlaced(Time now, const PlacementKey& key, std::span<const PromptPart> parts)
    -> void
{
    auto& request = requests_[key];
    request = { idsOf(sharedParts(parts)), now, std::nullopt };
    if (!mayConcern(request.parts))
        return;
    for (auto& quarantine : quarantines_) {
        if (!containsAll(request.parts, quarantine.parts))
            continue;
        quarantine.trial = key;
        hasNewBlock_ = true;
    }
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
    auto request = std::move(found->second);
    requests_.erase(found);
    const auto hasLasted = request.startedAt && now - *request.startedAt >= lastingAnswer;
    if (isSignOfLife(end))
        recordLife(now, engine, request.placedAt);
    if (end == PlacementEnd::Broken && !hasLasted) {
        recordCrash(now, key, std::move(request), engine);
        return;
    }
    // An engine without the parts that others had shows that these do not explain why all of them ended.
    if (end == PlacementEnd::Broken)
        evidence_.recordBreak(now, engine, {});
    if (end == PlacementEnd::Finished)
        clear(now, request);
    endTrials(key);
}

auto PromptQuarantine::recordLife(Time now, const UpstreamProcess& engine, Time placedAt) -> void
{
    revoke(now, engine);
    if (!evidence_.recordLife(now, engine, placedAt))
        return;
    queries_.forget(engine);
    if (reportedEngines_.erase(engine.upstream) > 0)
        crashReports_.push_back({ engine, {}, placedAt, now, true });
    dropUnsupported();
}

auto PromptQuarantine::forget(const PlacementKey& key) -> void
{
    if (requests_.erase(key) > 0)
        endTrials(key);
}

auto PromptQuarantine::endTrials(const PlacementKey& key) -> void
{
    for (auto& quarantine : quarantines_) {
        if (quarantine.trial == key)
            quarantine.trial.reset();
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
    evidence_.recordAnswered(request.parts);
    if (!mayConcern(request.parts))
        return;
    const auto isCleared = [&request](std::uint64_t part) {
        return std::ranges::find(request.parts, part) != request.parts.end();
    };
    // The rest of a set stays suspected: requests that wait for it would otherwise all be placed at once.
    std::erase_if(suspicions_, [&isCleared](Suspicion& suspicion) {
        std::erase_if(suspicion.parts, isCleared);
        return suspicion.parts.empty();
    });
    auto narrowed = std::vector<Quarantine> {};
    std::erase_if(quarantines_, [&](const Quarantine& quarantine) {
        if (std::ranges::none_of(quarantine.parts, isCleared))
            return false;
        auto rest = quarantine;
        std::erase_if(rest.parts, isCleared);
        // Only a request that was placed after the quarantine shows that engines bear the parts now.
        if (rest.parts.empty() && request.placedAt < quarantine.until)
            return false;
        reportRelease(now, quarantine.parts);
        if (!rest.parts.empty())
            narrowed.push_back(std::move(rest));
        return true;
    });
    for (auto& rest : narrowed) {
        if (find(rest.parts) != quarantines_.end())
            continue;
        dropExplained(now, rest.parts);
        rest.trial.reset();
        reportChange(rest);
        add(std::move(rest));
    }
}

auto PromptQuarantine::recordCrash(
    Time now, const PlacementKey& key, Request request, const UpstreamProcess& engine) -> void
{
    const auto due = now + verdictDelay;
    auto isExplained = false;
    auto isTrial = false;
    for (const auto& quarantine : quarantines_) {
        if (!containsAll(request.parts, quarantine.parts))
            continue;
        isExplained = true;
        if (quarantine.trial == key) {
            verdicts_.push_back({ due, engine, quarantine.parts });
            isTrial = true;
        }
    }
    // Requests that were placed before a quarantine say nothing new about their other parts.
    if (isExplained)
        request.parts.clear();
    if (!request.parts.empty() && unreported_.size() < maxParts)
        unreported_.push_back({ engine, request.parts, request.placedAt, now });
    evidence_.recordBreak(now, engine, { std::move(request.parts), request.placedAt });
    if (isTrial)
        queries_.request(now, engine);
    if (isExplained)
        return;
    judgeLater(now, engine);
}

auto PromptQuarantine::find(std::span<const std::uint64_t> parts) -> std::vector<Quarantine>::iterator
{
    return std::ranges::find_if(quarantines_,
        [parts](const Quarantine& quarantine) { return std::ranges::equal(quarantine.parts, parts); });
}

auto PromptQuarantine::quarantine(Time now, Parts parts, UpstreamId engine) -> void
{
    if (isCovered(parts))
        return;
    auto added = Quarantine {};
    added.length = firstQuarantine;
    added.until = now + added.length;
    added.ended = evidence_.endedWith(parts);
    added.crashes = added.ended.size();
    added.lastEngine = engine;
    dropExplained(now, parts);
    added.parts = std::move(parts);
    reportChange(added);
    add(std::move(added));
}

auto PromptQuarantine::prolong(Time now, Quarantine& quarantine, UpstreamId engine) -> void
{
    quarantine.length = std::min(quarantine.length * quarantineGrowth, maxQuarantine);
    quarantine.until = now + quarantine.length;
    quarantine.trial.reset();
    quarantine.crashes = 1;
    quarantine.lastEngine = engine;
    hasNewBlock_ = true;
    reportChange(quarantine);
}

auto PromptQuarantine::dropExplained(Time now, std::span<const std::uint64_t> parts) -> void
{
    std::erase_if(quarantines_, [&](const Quarantine& quarantine) {
        if (!containsAll(quarantine.parts, parts))
            return false;
        reportRelease(now, quarantine.parts);
        return true;
    });
    if (parts.size() == 1)
        evidence_.explain(parts.front());
}

auto PromptQuarantine::add(Quarantine quarantine) -> void
{
    if (quarantines_.size() >= maxParts)
        quarantines_.erase(std::ranges::min_element(quarantines_, {}, &Quarantine::until));
    noteConcerned(quarantine.parts);
    quarantines_.push_back(std::move(quarantine));
    hasNewBlock_ = true;
}

auto PromptQuarantine::mayConcern(std::span<const std::uint64_t> parts) const -> bool
{
    return !concernedParts_.empty()
        && std::ranges::any_of(parts, [this](std::uint64_t part) { return concernedParts_.contains(part); });
}

auto PromptQuarantine::noteConcerned(std::span<const std::uint64_t> parts) -> void
{
    if (concernedParts_.size() >= 2 * maxParts) {
        concernedParts_.clear();
        for (const auto& quarantine : quarantines_)
            concernedParts_.insert(quarantine.parts.begin(), quarantine.parts.end());
        for (const auto& suspicion : suspicions_)
            concernedParts_.insert(suspicion.parts.begin(), suspicion.parts.end());
    }
    concernedParts_.insert(parts.begin(), parts.end());
}

auto PromptQuarantine::reportChange(const Quarantine& quarantine) -> void
{
    changes_.push_back(
        { toldOf(quarantine), static_cast<std::uint32_t>(quarantine.crashes), quarantine.lastEngine });
}

auto PromptQuarantine::reportRelease(Time now, std::span<const std::uint64_t> parts) -> void
{
    changes_.push_back({ { parts.front(), now, {}, true, { parts.begin() + 1, parts.end() } }, 0, {} });
}

auto PromptQuarantine::toldOf(const Quarantine& quarantine) -> QuarantinedPart
{
    const auto& parts = quarantine.parts;
    return { parts.front(), quarantine.until, quarantine.length, false, { parts.begin() + 1, parts.end() } };
}

auto PromptQuarantine::apply(const QuarantinedPart& told) -> bool
{
    auto parts = told.with;
    parts.push_back(told.part);
    std::ranges::sort(parts);
    const auto found = find(parts);
    if (told.released) {
        if (found == quarantines_.end())
            return false;
        quarantines_.erase(found);
        return true;
    }
    if (found != quarantines_.end() && found->length >= told.length)
        return false;
    if (found == quarantines_.end() && isCovered(parts))
        return false;
    std::erase_if(quarantines_,
        [&parts](const Quarantine& quarantine) { return containsAll(quarantine.parts, parts); });
    if (parts.size() == 1)
        evidence_.explain(told.part);
    add({ std::move(parts), told.length, told.until, std::nullopt });
    return true;
}

auto PromptQuarantine::isCovered(std::span<const std::uint64_t> parts) const -> bool
{
    return std::ranges::any_of(
        quarantines_, [parts](const Quarantine& quarantine) { return containsAll(parts, quarantine.parts); });
}

auto PromptQuarantine::quarantined() const -> std::vector<QuarantinedPart>
{
    auto parts = std::vector<QuarantinedPart> {};
    std::ranges::transform(quarantines_, std::back_inserter(parts), toldOf);
    return parts;
}

} // namespace camphorshunt
