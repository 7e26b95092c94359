#include "enginemodel.h"

#include <algorithm>
#include <cmath>

namespace camphorshunt {

namespace {

/** Weight of a new sample in the learnt prefill rate. */
constexpr auto rateGain = 0.1;
/** Bounds of the learnt prefill rate, in tokens per millisecond. */
constexpr auto minPrefillRate = 1.0;
constexpr auto maxPrefillRate = 400.0;
/** For prompts with fewer tokens to prefill, the engine's step time dominates, so the rate is not learnt. */
constexpr auto minTokensToLearn = 1000U;
/** Initial lag from placement to the report of the first token of an empty prompt: both network trips and two
 * engine steps. */
constexpr auto initialLag = Duration(std::chrono::milliseconds(15));
/** Maximum lag of an engine that counts as nearby. */
constexpr auto maxNearbyLag = Duration(std::chrono::milliseconds(40));
/** Upper bound of a lag sample. */
constexpr auto maxLag = Duration(std::chrono::milliseconds(250));
/** Requests are placed early by the extra lag of two trips, that of the request and that of the report of the
 * preceding prompt, so that a distant engine does not become idle. */
constexpr auto tripsAhead = 2;
/** Weight of a new sample in the learnt lag. */
constexpr auto lagGain = 0.1;
/** Fraction of the memory that running requests may use; the rest absorbs errors in estimated output. */
constexpr auto usableMemory = 0.92;
/** A first token is overdue after `overdueFactor` times its expected prefill time plus `overdueSlack`. */
constexpr auto overdueFactor = 3;
constexpr auto overdueSlack = Duration(std::chrono::milliseconds(350));
constexpr auto minSuspension = Duration(std::chrono::milliseconds(250));
constexpr auto maxSuspension = Duration(std::chrono::milliseconds(2000));
/** Suspension while another engine answers at the address, until the directory has been updated. */
constexpr auto misdirectedSuspension = Duration(std::chrono::milliseconds(1000));
/** Typical time until a full engine frees a slot. */
constexpr auto fullSuspension = Duration(std::chrono::milliseconds(60));

/** Memory that a request needs besides its prompt parts, in tokens. */
auto privateTokensOf(const Prompt& prompt) -> std::uint64_t
{
    return expectedOutput(prompt) + tokensBesideParts(prompt);
}

} // namespace

EngineModel::EngineModel(
    UpstreamEntry entry, const EngineTraits& traits, double prefillTokensPerMs, PromptCacheIndex& index)
    : entry_(std::move(entry))
    , failureDomain_(hashName(entry_.failureDomain))
    , traits_(traits)
    , prefillRate_(std::clamp(prefillTokensPerMs, minPrefillRate, maxPrefillRate))
    , lag_(initialLag)
    , cache_(index, entry_.id())
{
}

auto EngineModel::setEntry(Time now, UpstreamEntry entry) -> void
{
    const auto restarted = entry.startedAt != entry_.startedAt || entry.endpoint != entry_.endpoint;
    if (restarted || entry.coldRemaining != entry_.coldRemaining)
        warmup_.recordStatement(now, entry.coldRemaining);
    entry_ = std::move(entry);
    failureDomain_ = hashName(entry_.failureDomain);
    if (!restarted)
        return;
    running_.clear();
    pendingPrefills_.clear();
    pendingPrefillTokens_ = 0;
    privateTokens_ = 0;
    cache_.clear();
    failures_ = 0;
    suspendedUntil_ = now;
}

auto EngineModel::slots() const -> std::size_t
{
    const auto all = std::max<std::size_t>(1, std::min(traits_.slots, entry_.slots));
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(double(all) * fraction_)));
}

auto EngineModel::prefillTime(double tokens) const -> Duration
{
    return fromMilliseconds(tokens / prefillRate_);
}

auto EngineModel::backlog(Time now) const -> Duration
{
    if (pendingPrefills_.empty())
        return {};
    const auto& head = pendingPrefills_.front();
    const auto headTime = prefillTime(head.tokens);
    // The head's prefill is pending until its first token arrives, however long overdue, so it counts as at
    // most 90 % done.
    const auto done = std::min(std::max(now - head.begunAt, Duration {}), headTime * 9 / 10);
    return prefillTime(double(pendingPrefillTokens_)) - done;
}

auto EngineModel::cachedTokens(const Prompt& prompt, std::span<const PromptCache::Chain> chains) const
    -> std::uint32_t
{
    return std::min(cache_.cachedTokens(prompt.parts, chains), prompt.tokens);
}

auto EngineModel::copyableTokens(const Prompt& prompt, std::span<const PromptCache::Chain> chains) const
    -> std::uint32_t
{
    if (traits_.copiedTokensPerMs <= 0 || failures_ > 0)
        return 0;
    return std::min(cache_.prefilledTokens(prompt.parts, chains), prompt.tokens);
}

auto EngineModel::estimate(Time now, const Prompt& prompt, std::uint32_t cached) const -> PlacementEstimate
{
    return { backlog(now), prefillTime(double(prompt.tokens - cached)) };
}

auto EngineModel::hasRoom(Time now, Duration backlogLimit) const -> bool
{
    if (entry_.draining || isSuspended(now) || isOnProbation() || running_.size() >= slots()
        || !warmup_.mayAdmit(now))
        return false;
    return pendingPrefills_.empty()
        || (fraction_ >= 1.0 && backlog(now) <= backlogLimit + tripsAhead * extraLag());
}

auto EngineModel::hasMemoryFor(const Prompt& prompt, std::span<const PromptCache::Chain> chains) const -> bool
{
    if (traits_.memoryTokens == 0 || running_.empty())
        return true;
    const auto needed = cache_.pinnedTokens() + cache_.newlyPinnedTokens(prompt.parts, chains)
        + privateTokens_ + privateTokensOf(prompt);
    return double(needed) <= double(traits_.memoryTokens) * usableMemory;
}

auto EngineModel::isTooSmallFor(const Prompt& prompt) const -> bool
{
    return traits_.memoryTokens != 0 && prompt.tokens > traits_.memoryTokens;
}

auto EngineModel::beginRequest(Time now, const PlacementKey& key, const Prompt& prompt,
    std::vector<PromptCache::Chain> chains, std::uint32_t copied) -> void
{
    warmup_.recordAdmission(now);
    auto running = Running {};
    const auto cached = std::max(cachedTokens(prompt, chains), copied);
    const auto pending = prompt.tokens - std::min(cached, prompt.tokens);
    running.privateTokens = privateTokensOf(prompt);
    cache_.pin(prompt.parts, chains);
    running.chains = std::move(chains);
    privateTokens_ += running.privateTokens;
    if (traits_.memoryTokens > privateTokens_)
        cache_.shrink(traits_.memoryTokens - privateTokens_);
    pendingPrefills_.push_back({ key, pending, now, now, backlog(now) + prefillTime(double(pending)) });
    pendingPrefillTokens_ += pending;
    running_.insert_or_assign(key, std::move(running));
}

auto EngineModel::adoptRequest(Time now, const PlacementKey& key, const Prompt& prompt,
    std::vector<PromptCache::Chain> chains, bool hasStarted) -> void
{
    beginRequest(now, key, prompt, std::move(chains), 0);
    if (!hasStarted)
        return;
    auto& running = running_.at(key);
    running.started = true;
    cache_.markPrefilled(running.chains);
    removePendingPrefill(now, key);
}

auto EngineModel::extraLag() const -> Duration { return std::max(lag_ - maxNearbyLag, Duration {}); }

auto EngineModel::learnFrom(Time now, const PendingPrefill& pending) -> void
{
    const auto elapsed = now - pending.begunAt;
    const auto wasAlone = pending.begunAt == pending.placedAt;
    if (pending.tokens < minTokensToLearn) {
        const auto sample = std::clamp(now - pending.placedAt - pending.expected, Duration {}, maxLag);
        lag_ += scaled(sample - lag_, lagGain);
        return;
    }
    const auto prefill = wasAlone ? elapsed - lag_ : elapsed;
    const auto milliseconds = std::max(1.0, double(prefill.count()) / 1000.0);
    const auto sample = std::clamp(double(pending.tokens) / milliseconds, minPrefillRate, maxPrefillRate);
    // Averaged in the logarithm, so that slow and fast samples have the same weight.
    prefillRate_ = std::exp(std::log(prefillRate_) * (1 - rateGain) + std::log(sample) * rateGain);
}

auto EngineModel::removePendingPrefill(Time now, const PlacementKey& key) -> void
{
    const auto found = std::ranges::find(pendingPrefills_, key, &PendingPrefill::key);
    if (found == pendingPrefills_.end())
        return;
    pendingPrefillTokens_ -= found->tokens;
    const auto wasHead = found == pendingPrefills_.begin();
    pendingPrefills_.erase(found);
    if (wasHead && !pendingPrefills_.empty())
        pendingPrefills_.front().begunAt = std::max(pendingPrefills_.front().placedAt, now);
}

auto EngineModel::onStarted(Time now, const PlacementKey& key) -> void
{
    const auto found = running_.find(key);
    if (found == running_.end() || found->second.started)
        return;
    found->second.started = true;
    cache_.markPrefilled(found->second.chains);
    failures_ = 0;
    suspendedUntil_ = now;
    lastStart_ = now;
    if (!pendingPrefills_.empty() && pendingPrefills_.front().key == key)
        learnFrom(now, pendingPrefills_.front());
    removePendingPrefill(now, key);
}

auto EngineModel::postpone(Time now, const PlacementKey& key) -> void
{
    const auto found = std::ranges::find(pendingPrefills_, key, &PendingPrefill::key);
    if (found == pendingPrefills_.end())
        return;
    auto pending = *found;
    pending.placedAt = now;
    pending.begunAt = now;
    removePendingPrefill(now, key);
    pending.expected = backlog(now) + prefillTime(double(pending.tokens));
    pendingPrefills_.push_back(pending);
    pendingPrefillTokens_ += pending.tokens;
}

auto EngineModel::removeRequest(Time now, absl::flat_hash_map<PlacementKey, Running>::iterator found) -> void
{
    removePendingPrefill(now, found->first);
    privateTokens_ -= found->second.privateTokens;
    cache_.unpin(found->second.chains);
    running_.erase(found);
}

auto EngineModel::onEnded(Time now, const PlacementKey& key, PlacementEnd end, bool isEngineAtFault) -> void
{
    const auto found = running_.find(key);
    if (found == running_.end())
        return;
    const auto wasStarted = found->second.started;
    removeRequest(now, found);
    switch (end) {
    case PlacementEnd::Finished:
        failures_ = 0;
        break;
    case PlacementEnd::Cancelled:
        break;
    case PlacementEnd::Full:
        suspendedUntil_ = std::max(suspendedUntil_, now + fullSuspension);
        break;
    case PlacementEnd::Misdirected:
        suspend(now, misdirectedSuspension);
        break;
    case PlacementEnd::Unreachable:
        if (isEngineAtFault)
            suspend(now, minSuspension);
        break;
    case PlacementEnd::Silent:
        // One silence ends several requests, and is no longer for that.
        if (isEngineAtFault && !isSuspended(now))
            suspend(now, minSuspension);
        break;
    case PlacementEnd::Broken:
    case PlacementEnd::Failed:
        // A stream that failed after its first token is no sign of a faulty engine: other requests may run
        // well.
        if (!wasStarted && isEngineAtFault)
            suspend(now, minSuspension);
        break;
    }
}

auto EngineModel::suspend(Time now, Duration minLength) -> void
{
    constexpr auto maxDoublings = 4U;
    const auto length = minLength * (1U << std::min(failures_, maxDoublings));
    ++failures_;
    suspendedUntil_ = std::max(suspendedUntil_, now + std::min(length, maxSuspension));
}

auto EngineModel::removeRouter(Time now, RouterId router) -> void
{
    for (auto next = running_.begin(); next != running_.end();) {
        const auto found = next++;
        if (found->first.router == router)
            removeRequest(now, found);
    }
}

auto EngineModel::overdueAt() const -> Time
{
    if (pendingPrefills_.empty())
        return Time::max();
    const auto& head = pendingPrefills_.front();
    const auto due = head.begunAt + prefillTime(head.tokens) * overdueFactor + overdueSlack;
    return std::max(due, suspendedUntil_);
}

auto EngineModel::overdueRequest(Time now) const -> std::optional<PlacementKey>
{
    return now < overdueAt() ? std::nullopt : std::optional(pendingPrefills_.front().key);
}

auto EngineModel::startsOthers() const -> bool
{
    return !pendingPrefills_.empty() && lastStart_ > pendingPrefills_.front().begunAt;
}

auto EngineModel::suspendOverdue(Time now) -> void { suspend(now, minSuspension); }

} // namespace camphorshunt
