#include "enginemodel.h"

#include <algorithm>
#include <cmath>

namespace camphorshunt {

namespace {

/** Weight of a new sample in the learnt reading rate. */
constexpr auto rateGain = 0.1;
constexpr auto slowestReading = 1.0;
constexpr auto fastestReading = 400.0;
/** Shorter prompts say more of the engine's steps than of its reading. */
constexpr auto leastTokensToLearn = 1000U;
/** From placing to the news of the first token of an empty prompt: the ways and two steps, before it is
 * learnt. */
constexpr auto firstLag = Duration(std::chrono::milliseconds(15));
/** A lag up to this is that of an engine close by. */
constexpr auto usualLag = Duration(std::chrono::milliseconds(40));
constexpr auto longestLag = Duration(std::chrono::milliseconds(250));
/** Prompts are sent ahead for the way of a request and for that of the news of those before it. */
constexpr auto waysAhead = 2;
/** Weight of a new sample in the learnt lag. */
constexpr auto lagGain = 0.1;
/** Part of the memory that running requests may fill; estimates of output are often off. */
constexpr auto usableMemory = 0.92;
/** A first token is overdue after this many times its predicted time, and this much more. */
constexpr auto overdueFactor = 3;
constexpr auto overdueSlack = Duration(std::chrono::milliseconds(350));
constexpr auto shortestSuspension = Duration(std::chrono::milliseconds(250));
constexpr auto longestSuspension = Duration(std::chrono::milliseconds(2000));
/** Another engine answers at the address; the directory will say so soon. */
constexpr auto misdirectedSuspension = Duration(std::chrono::milliseconds(1000));
/** A full engine frees a slot about this soon. */
constexpr auto fullPause = Duration(std::chrono::milliseconds(60));

/** Memory that a request needs besides its prompt parts. */
auto privateTokensOf(const Prompt& prompt) -> std::uint64_t
{
    return expectedOutput(prompt) + tokensBesideParts(prompt);
}

} // namespace

EngineModel::EngineModel(UpstreamEntry entry, const EngineTraits& traits, double tokensReadPerMs)
    : entry_(std::move(entry))
    , traits_(traits)
    , readRate_(std::clamp(tokensReadPerMs, slowestReading, fastestReading))
    , lag_(firstLag)
{
}

auto EngineModel::setEntry(Time now, UpstreamEntry entry) -> void
{
    const auto reborn = entry.startedAt != entry_.startedAt || entry.endpoint != entry_.endpoint;
    entry_ = std::move(entry);
    if (!reborn)
        return;
    running_.clear();
    unread_.clear();
    unreadTokens_ = 0;
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

auto EngineModel::readingTime(double tokens) const -> Duration
{
    return fromMilliseconds(tokens / readRate_);
}

auto EngineModel::backlog(Time now) const -> Duration
{
    if (unread_.empty())
        return {};
    const auto& head = unread_.front();
    const auto headTime = readingTime(head.tokens);
    // The head is unread until its first token comes, however long that has been due.
    const auto done = std::min(std::max(now - head.begun, Duration {}), headTime * 9 / 10);
    return readingTime(double(unreadTokens_)) - done;
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

auto EngineModel::estimate(Time now, const Prompt& prompt, std::uint32_t kept) const -> PlacementEstimate
{
    return { backlog(now), readingTime(double(prompt.tokens - kept)) };
}

auto EngineModel::admits(Time now, const Prompt& prompt, std::span<const PromptCache::Chain> chains,
    Duration backlogLimit) const -> bool
{
    if (entry_.draining || isSuspended(now) || running_.size() >= slots())
        return false;
    if (isOnProbation())
        return false;
    if (!unread_.empty() && (fraction_ < 1.0 || backlog(now) > backlogLimit + waysAhead * distance()))
        return false;
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

auto EngineModel::begin(Time now, const PlacementKey& key, const Prompt& prompt,
    std::vector<PromptCache::Chain> chains, std::uint32_t copied) -> void
{
    auto running = Running {};
    const auto kept = std::max(cachedTokens(prompt, chains), copied);
    const auto unread = prompt.tokens - std::min(kept, prompt.tokens);
    running.privateTokens = privateTokensOf(prompt);
    cache_.pin(prompt.parts, chains);
    running.chains = std::move(chains);
    privateTokens_ += running.privateTokens;
    if (traits_.memoryTokens > privateTokens_)
        cache_.shrink(traits_.memoryTokens - privateTokens_);
    unread_.push_back({ key, unread, now, now, backlog(now) + readingTime(double(unread)) });
    unreadTokens_ += unread;
    running_.insert_or_assign(key, std::move(running));
}

auto EngineModel::adopt(Time now, const PlacementKey& key, const Prompt& prompt,
    std::vector<PromptCache::Chain> chains, bool hasStarted) -> void
{
    begin(now, key, prompt, std::move(chains), 0);
    if (!hasStarted)
        return;
    auto& running = running_.at(key);
    running.started = true;
    cache_.markPrefilled(running.chains);
    removeUnread(now, key);
}

auto EngineModel::distance() const -> Duration { return std::max(lag_ - usualLag, Duration {}); }

auto EngineModel::learn(Time now, const Unread& read) -> void
{
    const auto elapsed = now - read.begun;
    const auto wasAlone = read.begun == read.placed;
    if (read.tokens < leastTokensToLearn) {
        const auto sample = std::clamp(now - read.placed - read.expected, Duration {}, longestLag);
        lag_ += scaled(sample - lag_, lagGain);
        return;
    }
    const auto reading = wasAlone ? elapsed - lag_ : elapsed;
    const auto milliseconds = std::max(1.0, double(reading.count()) / 1000.0);
    const auto sample = std::clamp(double(read.tokens) / milliseconds, slowestReading, fastestReading);
    // In the logarithm, so that a slow sample weighs as much as a fast one.
    readRate_ = std::exp(std::log(readRate_) * (1 - rateGain) + std::log(sample) * rateGain);
}

auto EngineModel::removeUnread(Time now, const PlacementKey& key) -> void
{
    const auto found = std::ranges::find(unread_, key, &Unread::key);
    if (found == unread_.end())
        return;
    unreadTokens_ -= found->tokens;
    const auto wasHead = found == unread_.begin();
    unread_.erase(found);
    if (wasHead && !unread_.empty())
        unread_.front().begun = std::max(unread_.front().placed, now);
}

auto EngineModel::started(Time now, const PlacementKey& key) -> void
{
    const auto found = running_.find(key);
    if (found == running_.end() || found->second.started)
        return;
    found->second.started = true;
    cache_.markPrefilled(found->second.chains);
    failures_ = 0;
    suspendedUntil_ = now;
    if (!unread_.empty() && unread_.front().key == key)
        learn(now, unread_.front());
    removeUnread(now, key);
}

auto EngineModel::remove(Time now, absl::flat_hash_map<PlacementKey, Running>::iterator found) -> void
{
    removeUnread(now, found->first);
    privateTokens_ -= found->second.privateTokens;
    cache_.unpin(found->second.chains);
    running_.erase(found);
}

auto EngineModel::ended(Time now, const PlacementKey& key, PlacementEnd end) -> void
{
    const auto found = running_.find(key);
    if (found == running_.end())
        return;
    const auto wasStarted = found->second.started;
    remove(now, found);
    switch (end) {
    case PlacementEnd::Finished:
        failures_ = 0;
        break;
    case PlacementEnd::Cancelled:
        break;
    case PlacementEnd::Full:
        suspendedUntil_ = std::max(suspendedUntil_, now + fullPause);
        break;
    case PlacementEnd::Misdirected:
        suspend(now, misdirectedSuspension);
        break;
    case PlacementEnd::Unreachable:
    case PlacementEnd::Silent:
        suspend(now, shortestSuspension);
        break;
    case PlacementEnd::Broken:
    case PlacementEnd::Failed:
        // A stream that was cut after its first token says little: the engine may serve the rest well.
        if (!wasStarted)
            suspend(now, shortestSuspension);
        break;
    }
}

auto EngineModel::suspend(Time now, Duration shortest) -> void
{
    constexpr auto mostDoublings = 4U;
    const auto length = shortest * (1U << std::min(failures_, mostDoublings));
    ++failures_;
    suspendedUntil_ = std::max(suspendedUntil_, now + std::min(length, longestSuspension));
}

auto EngineModel::forgetRouter(Time now, RouterId router) -> void
{
    for (auto next = running_.begin(); next != running_.end();) {
        const auto found = next++;
        if (found->first.router == router)
            remove(now, found);
    }
}

auto EngineModel::checkOverdue(Time now) -> bool
{
    if (unread_.empty() || isSuspended(now))
        return false;
    const auto& head = unread_.front();
    const auto due = readingTime(head.tokens) * overdueFactor + overdueSlack;
    if (now - head.begun < due)
        return false;
    suspend(now, shortestSuspension);
    return true;
}

} // namespace camphorshunt
