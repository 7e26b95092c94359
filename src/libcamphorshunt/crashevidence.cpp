#include "crashevidence.h"

#include <algorithm>
#include <utility>

namespace camphorshunt {

namespace {

using namespace std::chrono_literals;

/** Reports on an engine from before its end may arrive for so long after it. */
constexpr auto maxReportLag = Duration(150ms);
/** Engines that one failure ends are known to have ended within this time. */
constexpr auto sameFailure = Duration(150ms);
/** Ends of engines that lie further apart are not counted together. */
constexpr auto crashMemory = Duration(3600s);
/** Broken requests that are kept of an engine, and shared parts of a prompt. */
constexpr auto maxRequests = std::size_t { 16 };
constexpr auto maxPromptParts = std::size_t { 128 };
/** Parts of a set; a record of the store has a key of 255 bytes at most. */
constexpr auto maxSetParts = std::size_t { 8 };

auto showsLife(Time now, Time endedAt, Time placedAt) -> bool
{
    return placedAt > endedAt || now - endedAt >= maxReportLag;
}

} // namespace

auto containsAll(std::span<const std::uint64_t> parts, std::span<const std::uint64_t> set) -> bool
{
    return std::ranges::all_of(
        set, [parts](std::uint64_t part) { return std::ranges::find(parts, part) != parts.end(); });
}

auto CrashEvidence::find(const UpstreamProcess& engine) const -> std::deque<EngineEnd>::const_iterator
{
    return std::ranges::find(ends_, engine, &EngineEnd::engine);
}

auto CrashEvidence::hasEnded(const UpstreamProcess& engine) const -> bool
{
    const auto found = find(engine);
    return found != ends_.end() && found->isProven;
}

auto CrashEvidence::brokeOffAt(const UpstreamProcess& engine) const -> std::optional<Time>
{
    const auto found = find(engine);
    return found == ends_.end() ? std::nullopt : std::optional(found->at);
}

auto CrashEvidence::recordEnd(const UpstreamProcess& engine) -> bool
{
    const auto found = std::ranges::find(ends_, engine, &EngineEnd::engine);
    return found != ends_.end() && !std::exchange(found->isProven, true);
}

auto CrashEvidence::recordDirectory(std::span<const UpstreamEntry> entries) -> std::vector<UpstreamProcess>
{
    auto ended = std::vector<UpstreamProcess> {};
    if (ends_.empty())
        return ended;
    auto listed = absl::flat_hash_map<UpstreamId, UpstreamProcess> {};
    for (const auto& entry : entries)
        listed.emplace(entry.id(), entry.process());
    for (auto& end : ends_) {
        const auto found = listed.find(end.engine.upstream);
        const auto isGone = found == listed.end() || found->second.isLaterThan(end.engine);
        if (isGone && !std::exchange(end.isProven, true))
            ended.push_back(end.engine);
    }
    return ended;
}

auto CrashEvidence::recordBreak(Time now, const UpstreamProcess& engine, BrokenRequest request) -> void
{
    expire(now);
    if (request.parts.size() > maxPromptParts)
        request.parts.resize(maxPromptParts);
    auto found = find(engine);
    if (found == ends_.end()) {
        // Other routers tell late of ends that they have seen.
        const auto isEarlier = [](Time at, const EngineEnd& other) { return at < other.at; };
        found = ends_.insert(
            std::upper_bound(ends_.cbegin(), ends_.cend(), now, isEarlier), { engine, now, {} });
    }
    auto& end = ends_[static_cast<std::size_t>(found - ends_.cbegin())];
    if (request.parts.empty() || end.requests.size() >= maxRequests)
        return;
    for (const auto part : request.parts)
        ++parts_[part];
    end.requests.push_back(std::move(request));
    while (ends_.size() > 1 && (ends_.size() > maxEngines || parts_.size() > maxParts))
        forget(ends_.cbegin());
}

auto CrashEvidence::expire(Time now) -> void
{
    while (!ends_.empty() && (now - ends_.front().at > crashMemory || ends_.size() >= maxEngines))
        forget(ends_.cbegin());
}

auto CrashEvidence::release(std::uint64_t part) -> void
{
    if (const auto found = parts_.find(part); --found->second == 0)
        parts_.erase(found);
}

auto CrashEvidence::forget(const std::deque<EngineEnd>::const_iterator& end) -> void
{
    for (const auto& request : end->requests) {
        for (const auto part : request.parts)
            release(part);
    }
    ends_.erase(end);
}

auto CrashEvidence::recordLife(Time now, const UpstreamProcess& engine, Time placedAt) -> bool
{
    const auto found = find(engine);
    if (found == ends_.end() || !showsLife(now, found->at, placedAt))
        return false;
    recordAlive(found);
    return true;
}

auto CrashEvidence::recordAlive(const std::deque<EngineEnd>::const_iterator& end) -> void
{
    if (brokenOffAlive_.size() >= maxEngines)
        brokenOffAlive_.pop_front();
    brokenOffAlive_.push_back(end->at);
    forget(end);
}

auto CrashEvidence::dropEnd(const UpstreamProcess& engine) -> bool
{
    const auto found = find(engine);
    if (found == ends_.end())
        return false;
    recordAlive(found);
    return true;
}

auto CrashEvidence::reports() const -> std::vector<CrashReport>
{
    auto reports = std::vector<CrashReport> {};
    for (const auto& end : ends_) {
        for (const auto& request : end.requests)
            reports.push_back({ end.engine, request.parts, request.placedAt, end.at, false, end.isProven });
    }
    return reports;
}

auto CrashEvidence::recordAnswered(std::span<const std::uint64_t> parts) -> void
{
    for (const auto part : parts) {
        if (!parts_.contains(part))
            continue;
        for (auto& end : ends_) {
            for (auto& request : end.requests) {
                for (auto erased = std::erase(request.parts, part); erased > 0; --erased)
                    release(part);
            }
        }
    }
}

auto CrashEvidence::explain(std::uint64_t part) -> void
{
    const auto hasPart = [part](const BrokenRequest& request) {
        return containsAll(request.parts, { &part, 1 });
    };
    for (auto end = ends_.cbegin(); end != ends_.cend();) {
        const auto next = end + 1;
        const auto index = next - ends_.cbegin();
        if (std::ranges::any_of(end->requests, hasPart)) {
            forget(end);
            end = ends_.cbegin() + index - 1;
        } else {
            end = next;
        }
    }
}

auto CrashEvidence::enginesWith(std::span<const std::uint64_t> set) const -> std::size_t
{
    const auto count = std::ranges::count_if(ends_, [set](const EngineEnd& end) {
        return std::ranges::any_of(
            end.requests, [set](const BrokenRequest& request) { return containsAll(request.parts, set); });
    });
    return static_cast<std::size_t>(count);
}

auto CrashEvidence::unprovenWith(std::span<const std::uint64_t> set) const -> std::vector<UpstreamProcess>
{
    const auto hasSet = [set](const EngineEnd& end) {
        return std::ranges::any_of(
            end.requests, [set](const BrokenRequest& request) { return containsAll(request.parts, set); });
    };
    auto engines = std::vector<UpstreamProcess> {};
    auto lastWithSet = std::optional<Time> {};
    // In order of time, so that an engine is near the last one with the set, or the next one.
    for (auto end = ends_.begin(); end != ends_.end(); ++end) {
        if (hasSet(*end))
            lastWithSet = end->at;
        auto isNear = lastWithSet && end->at - *lastWithSet <= sameFailure;
        for (auto next = end; !isNear && next != ends_.end() && next->at - end->at <= sameFailure; ++next)
            isNear = hasSet(*next);
        if (isNear && !end->isProven)
            engines.push_back(end->engine);
    }
    return engines;
}

auto CrashEvidence::endedWith(std::span<const std::uint64_t> set) const
    -> std::vector<std::pair<UpstreamProcess, Time>>
{
    auto engines = std::vector<std::pair<UpstreamProcess, Time>> {};
    for (const auto& end : ends_) {
        const auto hasSet = std::ranges::any_of(
            end.requests, [set](const BrokenRequest& request) { return containsAll(request.parts, set); });
        if (end.isProven && hasSet)
            engines.emplace_back(end.engine, end.at);
    }
    return engines;
}

auto CrashEvidence::presencesOf(const EngineEnd& end, std::size_t limit, Proof proof) const -> Presences
{
    auto presences = Presences {};
    for (const auto& request : end.requests) {
        for (const auto part : request.parts) {
            if (parts_.at(part) >= limit)
                presences.try_emplace(part);
        }
    }
    if (presences.empty())
        return presences;
    for (auto index = std::size_t { 0 }; index < ends_.size(); ++index) {
        if (proof == Proof::Required && !ends_[index].isProven)
            continue;
        for (const auto& request : ends_[index].requests) {
            for (const auto part : request.parts) {
                const auto found = presences.find(part);
                if (found == presences.end())
                    continue;
                auto& list = found->second;
                if (list.empty() || list.back().end != index)
                    list.push_back({ index, request.placedAt });
                else
                    list.back().placedAt = std::max(list.back().placedAt, request.placedAt);
            }
        }
    }
    return presences;
}

auto CrashEvidence::failuresOf(std::span<const Presence> presences) const -> std::size_t
{
    auto failures = std::size_t { 0 };
    auto last = Time {};
    for (const auto& presence : presences) {
        // What was placed before the previous end was known may have broken off by the same failure.
        const auto isIndependent
            = failures == 0 || presence.placedAt > last || isCommonAround(presence.end, presences);
        if (!isIndependent)
            continue;
        ++failures;
        last = ends_[presence.end].at;
    }
    return failures;
}

auto CrashEvidence::isCommonAround(std::size_t end, std::span<const Presence> presences) const -> bool
{
    const auto at = ends_[end].at;
    const auto isAtThatTime
        = [at](Time other) { return other - at <= sameFailure && at - other <= sameFailure; };
    if (std::ranges::any_of(brokenOffAlive_, isAtThatTime))
        return false;
    const auto isNear = [this, &isAtThatTime](std::size_t other) {
        return other < ends_.size() && isAtThatTime(ends_[other].at);
    };
    auto first = end;
    while (first > 0 && isNear(first - 1))
        --first;
    auto last = end;
    while (isNear(last + 1))
        ++last;
    const auto having = std::ranges::count_if(presences,
        [first, last](const Presence& presence) { return presence.end >= first && presence.end <= last; });
    return static_cast<std::size_t>(having) == last - first + 1;
}

auto CrashEvidence::suspectsOf(const UpstreamProcess& engine, std::size_t limit, Proof proof) const
    -> std::vector<std::vector<std::uint64_t>>
{
    const auto found = find(engine);
    if (found == ends_.end() || (proof == Proof::Required && !found->isProven))
        return {};
    const auto presences = presencesOf(*found, limit, proof);
    const auto isEnough = [this, limit](const auto& entry) { return failuresOf(entry.second) >= limit; };
    if (std::ranges::none_of(presences, isEnough))
        return {};
    auto most = std::size_t { 0 };
    for (const auto& [part, list] : presences)
        most = std::max(most, list.size());

    auto sets = std::vector<std::vector<std::uint64_t>> {};
    for (const auto& request : found->requests) {
        auto set = std::vector<std::uint64_t> {};
        for (const auto part : request.parts) {
            const auto list = presences.find(part);
            if (list != presences.end() && list->second.size() == most)
                set.push_back(part);
        }
        std::ranges::sort(set);
        set.erase(std::unique(set.begin(), set.end()), set.end());
        if (set.size() > maxSetParts)
            set.resize(maxSetParts);
        const auto isPartOf = [&set](const auto& other) { return containsAll(other, set); };
        if (set.empty() || std::ranges::any_of(sets, isPartOf))
            continue;
        std::erase_if(sets, [&set](const auto& other) { return containsAll(set, other); });
        sets.push_back(std::move(set));
    }
    return sets;
}

} // namespace camphorshunt
