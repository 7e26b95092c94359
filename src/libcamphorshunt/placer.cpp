#include "placer.h"

#include <algorithm>
#include <cmath>

#include <absl/container/flat_hash_set.h>

namespace camphorshunt {

namespace {

using std::chrono::milliseconds;

constexpr auto throughputWindow = std::chrono::duration<double>(1.0);
/** Waiting requests looked at in one pump, so that its time is bounded. */
constexpr auto mostLooks = std::size_t { 48 };
/** Waiting requests of one organisation looked at in a row. */
constexpr auto mostLooksEach = std::size_t { 8 };
/** Fewer kept tokens are not worth a copy from another engine. */
constexpr auto leastCopied = 256U;
/** To begin a copy between engines; from the engines' sheet, rounded up. */
constexpr auto copySetup = Duration(milliseconds(4));
/** What a full batch adds to the time of a token's step, as seen by a new request. */
constexpr auto fullBatchCost = Duration(milliseconds(20));
/** What another failure domain costs in traffic, as time. */
constexpr auto otherDomainCost = Duration(milliseconds(2));
/** From placing to the first token at the caller, besides reading. */
constexpr auto fixedFirstToken = Duration(milliseconds(25));
/** Bounds of the time after which a refused caller is asked to come again. */
constexpr auto shortestRetry = milliseconds(200);
constexpr auto longestRetry = milliseconds(4000);
/** Reading rate of an engine against the tokens that it makes and reads in all, before one is learnt. */
constexpr auto readRateFactor = 1.5;
constexpr auto fallbackReadRate = 50.0;

} // namespace

Placer::Placer(const Settings& settings)
    : settings_(settings)
    , queues_(settings.shareWindow)
    , random_(settings.seed)
{
}

auto Placer::setTraits(const EngineTraits& traits, double serviceTokensPerSecond) -> void
{
    traits_ = traits;
    serviceTokensPerSecond_ = serviceTokensPerSecond;
    for (auto& [id, engine] : engines_)
        engine.setTraits(traits);
}

auto Placer::firstReadRate(std::size_t engines) const -> double
{
    if (serviceTokensPerSecond_ <= 0 || engines == 0)
        return fallbackReadRate;
    return readRateFactor * serviceTokensPerSecond_ / 1000.0 / double(engines);
}

auto Placer::setUpstreams(Time now, std::span<const UpstreamEntry> entries) -> void
{
    auto listed = absl::flat_hash_set<UpstreamId> {};
    for (const auto& entry : entries)
        listed.insert(entry.id());
    absl::erase_if(engines_, [&listed](const auto& engine) { return !listed.contains(engine.first); });
    absl::erase_if(upstreamOf_, [this](const auto& placed) { return !engines_.contains(placed.second); });

    const auto rate = firstReadRate(listed.size());
    for (const auto& entry : entries) {
        auto& engine = engines_.try_emplace(entry.id(), entry, traits_, rate).first->second;
        engine.setEntry(now, entry);
        engine.setFraction(fraction_);
    }
}

auto Placer::setFraction(double fraction) -> void
{
    fraction_ = fraction;
    for (auto& [id, engine] : engines_)
        engine.setFraction(fraction);
}

auto Placer::readingTimeOf(const PlacementRequest& request) const -> Duration
{
    auto rates = 0.0;
    for (const auto& [id, engine] : engines_)
        rates += engine.tokensReadPerMs();
    const auto rate = engines_.empty() ? fallbackReadRate : rates / double(engines_.size());
    // The last part is the request's own; those before it are mostly kept.
    const auto own
        = request.prompt.parts.empty() ? request.prompt.tokens : request.prompt.parts.back().tokens;
    return fixedFirstToken + fromMilliseconds(own / rate);
}

auto Placer::expectedWait(Time now, const WaitingRequest& waiting) const -> Duration
{
    if (queues_.size() == 0)
        return {};
    const auto rate = fadedCost(now) / throughputWindow.count();
    if (rate <= 0)
        return {};
    const auto ahead = queues_.costAhead(now, waiting);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / rate));
}

auto Placer::submit(Time now, PlacementRequest request) -> void
{
    auto waiting = WaitingRequest {};
    waiting.cost = costOf(request.prompt);
    waiting.chains = PromptCache::chainsOf(request.prompt.parts);
    waiting.request = std::move(request);

    const auto holds = [&waiting](const auto& engine) {
        return !engine.second.entry().draining && !engine.second.isTooSmallFor(waiting.request.prompt);
    };
    if (std::ranges::none_of(engines_, holds)) {
        refuse(now, waiting, RefusalReason::NoUpstream);
        return;
    }
    waiting.latestStart = waiting.request.goal - readingTimeOf(waiting.request);
    const auto wait = expectedWait(now, waiting);
    // An organisation that is behind is not refused for being late.
    const auto latest = queues_.isBehind(now, waiting.request.organisation)
        ? std::max(waiting.latestStart, now) + settings_.lateness
        : waiting.latestStart;
    if (wait > Duration {} && now + wait > latest) {
        refuse(now, waiting, RefusalReason::OverShare);
        return;
    }
    queues_.add(now, std::move(waiting));
}

auto Placer::withdraw(const PlacementKey& key) -> void { queues_.remove(key); }

auto Placer::adopt(Time now, const RunningRequest& running) -> void
{
    const auto engine = engines_.find(running.upstream);
    const auto& request = running.request;
    if (engine == engines_.end() || upstreamOf_.contains(request.key))
        return;
    engine->second.adopt(
        now, request.key, request.prompt, PromptCache::chainsOf(request.prompt.parts), running.started);
    upstreamOf_[request.key] = running.upstream;
    queues_.charge(now, request.organisation, costOf(request.prompt));
}

auto Placer::started(Time now, const PlacementKey& key) -> void
{
    const auto placed = upstreamOf_.find(key);
    if (placed != upstreamOf_.end())
        engines_.at(placed->second).started(now, key);
}

auto Placer::ended(Time now, const PlacementKey& key, PlacementEnd end) -> void
{
    const auto placed = upstreamOf_.find(key);
    if (placed == upstreamOf_.end())
        return;
    engines_.at(placed->second).ended(now, key, end);
    upstreamOf_.erase(placed);
}

auto Placer::forgetRouter(Time now, RouterId router) -> void
{
    for (auto& [id, engine] : engines_)
        engine.forgetRouter(now, router);
    absl::erase_if(upstreamOf_, [router](const auto& placed) { return placed.first.router == router; });
    queues_.removeIf(
        [router](const WaitingRequest& waiting) { return waiting.request.key.router == router; });
}

auto Placer::keeperOf(Time now, const WaitingRequest& waiting) const -> Keeper
{
    auto keeper = Keeper {};
    for (const auto& [id, engine] : engines_) {
        if (engine.isSuspended(now))
            continue;
        const auto tokens = engine.copyableTokens(waiting.request.prompt, waiting.chains);
        if (tokens > keeper.tokens)
            keeper = { id, tokens };
    }
    return keeper;
}

auto Placer::choose(Time now, const WaitingRequest& waiting) -> Choice
{
    const auto& request = waiting.request;
    const auto keeper = keeperOf(now, waiting);
    auto bestFree = Choice {};
    auto bestFreeCost = Duration::max();
    for (auto& [id, engine] : engines_) {
        if (engine.entry().draining || engine.isSuspended(now) || engine.isOnProbation())
            continue;
        if (std::ranges::find(request.avoid, id) != request.avoid.end()
            || engine.isTooSmallFor(request.prompt))
            continue;
        const auto kept = engine.cachedTokens(request.prompt, waiting.chains);
        const auto copies = keeper.tokens >= kept + leastCopied;
        const auto spared = copies ? keeper.tokens : kept;
        const auto estimate = engine.estimate(now, request.prompt, spared);
        const auto fill = double(engine.running()) / double(engine.slots());
        auto cost = estimate.backlog + scaled(estimate.reading, settings_.rereadWeight)
            + scaled(fullBatchCost, fill);
        if (copies)
            cost += copySetup
                + fromMilliseconds(
                    double(keeper.tokens - kept) / traits_.copiedTokensPerMs * settings_.copyWeight);
        if (hashName(engine.entry().failureDomain) != request.failureDomain)
            cost += otherDomainCost;
        if (cost < bestFreeCost
            && engine.admits(now, request.prompt, waiting.chains, settings_.backlogLimit)) {
            bestFreeCost = cost;
            bestFree.engine = &engine;
            bestFree.copyFrom = copies ? std::optional(keeper.upstream) : std::nullopt;
            bestFree.copied = copies ? keeper.tokens : 0;
            bestFree.kept = spared;
            bestFree.backlog = estimate.backlog;
        }
    }
    return bestFree;
}

auto Placer::place(Time now, WaitingRequest waiting, const Choice& choice) -> void
{
    const auto& key = waiting.request.key;
    auto& engine = *choice.engine;
    const auto inputs = PlacementInputs { std::chrono::duration_cast<milliseconds>(choice.backlog),
        choice.kept, static_cast<std::uint32_t>(queues_.size()) };
    engine.begin(now, key, waiting.request.prompt, std::move(waiting.chains), choice.copied);
    upstreamOf_[key] = engine.entry().id();
    queues_.charge(now, waiting.request.organisation, waiting.cost);
    noteThroughput(now, waiting.cost);
    verdicts_.emplace_back(PlacementAccepted { key, engine.entry().id(), choice.copyFrom, inputs });
}

auto Placer::fadedCost(Time now) const -> double
{
    return placedCost_ * std::exp(-(std::chrono::duration<double>(now - placedAt_) / throughputWindow));
}

auto Placer::noteThroughput(Time now, double cost) -> void
{
    placedCost_ = fadedCost(now) + cost;
    placedAt_ = now;
}

auto Placer::placeFor(Time now, OrganisationId organisation, Pass pass, std::size_t& looks) -> bool
{
    auto& waiting = queues_.waitingOf(organisation);
    auto looksLeft = mostLooksEach;
    for (auto index = std::size_t { 0 }; index < waiting.size() && looksLeft > 0 && looks > 0; ++index) {
        if ((now > waiting[index].latestStart) != (pass == Pass::Late))
            continue;
        --looks;
        --looksLeft;
        const auto choice = choose(now, waiting[index]);
        if (choice.engine == nullptr)
            continue;
        place(now, *queues_.remove(waiting[index].request.key), choice);
        return true;
    }
    return false;
}

auto Placer::retryAfter(Time now, const WaitingRequest& waiting) -> milliseconds
{
    auto spread = std::uniform_real_distribution<double>(0.8, 1.6);
    const auto wait = std::chrono::duration<double, std::milli>(expectedWait(now, waiting)).count();
    const auto clearing = std::max(wait, double(shortestRetry.count())) * spread(random_);
    return std::clamp(milliseconds(static_cast<milliseconds::rep>(clearing)), shortestRetry, longestRetry);
}

auto Placer::refuse(Time now, const WaitingRequest& waiting, RefusalReason reason) -> void
{
    const auto inputs
        = PlacementInputs { std::chrono::duration_cast<milliseconds>(expectedWait(now, waiting)), 0,
              static_cast<std::uint32_t>(queues_.size()) };
    verdicts_.emplace_back(
        PlacementRefused { waiting.request.key, reason, retryAfter(now, waiting), inputs });
}

auto Placer::refuseLate(Time now) -> void
{
    const auto late = queues_.removeIf([this, now](const WaitingRequest& waiting) {
        return now >= std::max(waiting.request.goal, waiting.since) + settings_.lateness;
    });
    for (const auto& waiting : late)
        refuse(now, waiting, RefusalReason::Waited);
}

auto Placer::pump(Time now) -> std::vector<PlacementDecision>
{
    for (auto& [id, engine] : engines_)
        engine.checkOverdue(now);
    for (const auto who : { Who::Behind, Who::All }) {
        placeAll(now, who, Pass::InTime);
        placeAll(now, who, Pass::Late);
    }
    refuseLate(now);
    return std::exchange(verdicts_, {});
}

auto Placer::placeAll(Time now, Who who, Pass pass) -> void
{
    auto looks = mostLooks;
    auto progress = true;
    while (progress && looks > 0 && queues_.size() > 0) {
        progress = false;
        for (const auto organisation : queues_.byService(now)) {
            if (who == Who::Behind && !queues_.isBehind(now, organisation))
                continue;
            if (placeFor(now, organisation, pass, looks)) {
                progress = true;
                break;
            }
        }
    }
}

} // namespace camphorshunt
