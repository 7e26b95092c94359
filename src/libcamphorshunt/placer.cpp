#include "placer.h"

#include <algorithm>
#include <cmath>

#include <absl/container/flat_hash_set.h>

namespace camphorshunt {

namespace {

using std::chrono::milliseconds;

constexpr auto throughputWindow = std::chrono::duration<double>(1.0);
/** Maximum waiting requests examined in one pass, so that the time of `placeWaiting` is bounded. */
constexpr auto maxScannedPerPass = std::size_t { 48 };
/** Maximum waiting requests of one organisation examined before the next organisation's. */
constexpr auto maxScannedPerOrganisation = std::size_t { 8 };
/** Minimum additional cached tokens that make a copy from another engine worthwhile. */
constexpr auto minCopiedTokens = 256U;
/** Time to set up a copy between engines. */
constexpr auto copySetup = Duration(milliseconds(4));
/** Cost to a new request of the slower steps of a full batch; scaled by how full the batch is. */
constexpr auto fullBatchCost = Duration(milliseconds(20));
/** Cost of traffic to another failure domain, expressed as time. */
constexpr auto otherDomainCost = Duration(milliseconds(2));
/** Time from placement until the caller receives the first token, excluding prefill. */
constexpr auto fixedFirstTokenTime = Duration(milliseconds(25));
/** Ratio of an engine's prefill rate to its total token throughput, used until its rate has been learnt. */
constexpr auto prefillRateFactor = 1.5;
/** Tokens per millisecond, used if the throughput of the service is not configured. */
constexpr auto fallbackPrefillRate = 50.0;

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
    for (auto& [id, engine] : engines_) {
        engine.setTraits(traits);
        setWarmupLimits(engine);
    }
}

auto Placer::initialPrefillRate(std::size_t engines) const -> double
{
    if (serviceTokensPerSecond_ <= 0 || engines == 0)
        return fallbackPrefillRate;
    return prefillRateFactor * serviceTokensPerSecond_ / 1000.0 / double(engines);
}

auto Placer::setUpstreams(Time now, std::span<const UpstreamEntry> entries) -> void
{
    auto listed = absl::flat_hash_set<UpstreamId> {};
    for (const auto& entry : entries)
        listed.insert(entry.id());
    absl::erase_if(engines_, [&listed](auto& engine) {
        if (listed.contains(engine.first))
            return false;
        engine.second.clearCache();
        return true;
    });
    absl::erase_if(placed_, [this](const auto& placed) {
        if (engines_.contains(placed.second.upstream))
            return false;
        endPending(placed.first, placed.second);
        quarantine_.forget(placed.first);
        return true;
    });

    quarantine_.recordDirectory(now, entries);
    const auto othersEvacuated = leaving_.setUpstreams(now, entries);
    for (auto& [router, rests] : rests_)
        rests.setUpstreams(now, entries);
    const auto rate = initialPrefillRate(listed.size());
    for (const auto& entry : entries) {
        const auto [found, isNew] = engines_.try_emplace(entry.id(), entry, traits_, rate, *cacheIndex_);
        auto& engine = found->second;
        engine.setEntry(now, entry);
        engine.setFraction(fraction_);
        if (isNew)
            recordNewEngine(now, engine);
    }
    if (othersEvacuated)
        refuseAllUnavailable(now);
}

auto Placer::setFraction(double fraction) -> void
{
    fraction_ = fraction;
    for (auto& [id, engine] : engines_) {
        engine.setFraction(fraction);
        setWarmupLimits(engine);
    }
}

auto Placer::firstTokenTimeOf(const PlacementRequest& request) const -> Duration
{
    auto rates = 0.0;
    for (const auto& [id, engine] : engines_)
        rates += engine.prefillTokensPerMs();
    const auto rate = engines_.empty() ? fallbackPrefillRate : rates / double(engines_.size());
    // The last part belongs to this request only; earlier parts are usually cached.
    const auto own
        = request.prompt.parts.empty() ? request.prompt.tokens : request.prompt.parts.back().tokens;
    return fixedFirstTokenTime + fromMilliseconds(own / rate);
}

auto Placer::expectedWait(Time now, const WaitingRequest& waiting) const -> Duration
{
    if (queues_.size() == 0)
        return {};
    const auto rate = decayedCost(now) / throughputWindow.count();
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
    shares_.recordAsked(waiting.request.organisation, waiting.cost);

    waiting.latestStart = waiting.request.goal - firstTokenTimeOf(waiting.request);
    if (const auto end = quarantineEnd(now, waiting)) {
        refuse(now, waiting, RefusalReason::Quarantined, *end);
        return;
    }
    if (isUnavailable(now, waiting)) {
        refuseUnavailable(now, waiting);
        return;
    }
    if (!mayPlaceFor(now, waiting.request.key.router)) {
        refuse(now, waiting, RefusalReason::NoUpstream);
        return;
    }
    const auto wait = hasPlaceAfterRest(now, waiting) ? Duration {} : expectedWait(now, waiting);
    // A request of an underserved organisation is not refused merely because it will be late.
    const auto latest = queues_.isUnderserved(waiting.request.organisation)
        ? std::max(waiting.latestStart, now) + settings_.maxLateness
        : waiting.latestStart;
    if (wait > Duration {} && now + wait > latest) {
        refuse(now, waiting, RefusalReason::OverShare);
        return;
    }
    waiting.refuseAt = std::max(waiting.request.goal, now) + settings_.maxLateness;
    nextRefusal_ = std::min(nextRefusal_, waiting.refuseAt);
    queues_.add(now, std::move(waiting));
}

auto Placer::withdraw(const PlacementKey& key) -> void { queues_.remove(key); }

auto Placer::findCacheHolder(Time now, const WaitingRequest& waiting) const -> CacheHolder
{
    const auto& chains = waiting.chains;
    for (auto chain = chains.rbegin(); chain != chains.rend(); ++chain) {
        for (const auto id : cacheIndex_->holdersOf(*chain)) {
            const auto& engine = engines_.at(id);
            const auto tokens = engine.isSuspended(now) || isLeaving(engine)
                ? 0
                : engine.copyableTokens(waiting.request.prompt, chains);
            if (tokens > 0)
                return { id, tokens };
        }
    }
    return {};
}

auto Placer::findOpenEngines(Time now) -> void
{
    openEngines_.clear();
    for (auto& [id, engine] : engines_) {
        if (!isLeaving(engine) && engine.hasRoom(now, settings_.backlogLimit))
            openEngines_.push_back(&engine);
    }
}

auto Placer::chooseEngine(Time now, const WaitingRequest& waiting) -> Choice
{
    const auto& request = waiting.request;
    const auto holder = findCacheHolder(now, waiting);
    const auto* const rests = restsOf(request.key.router);
    auto bestFree = Choice {};
    auto bestFreeCost = Duration::max();
    for (auto* const candidate : openEngines_) {
        auto& engine = *candidate;
        if (engine.isTooSmallFor(request.prompt) || request.avoids(engine.entry().id()))
            continue;
        if (rests != nullptr && !rests->maySend(now, engine.entry()))
            continue;
        const auto cached = engine.cachedTokens(request.prompt, waiting.chains);
        const auto worthCopying = holder.tokens >= cached + minCopiedTokens;
        const auto cachedOrCopied = worthCopying ? holder.tokens : cached;
        const auto estimate = engine.estimate(now, request.prompt, cachedOrCopied);
        const auto fill = double(engine.running()) / double(engine.slots());
        auto cost = estimate.backlog + scaled(estimate.prefill, settings_.prefillWeight)
            + scaled(fullBatchCost, fill);
        if (worthCopying)
            cost += copySetup
                + fromMilliseconds(
                    double(holder.tokens - cached) / traits_.copiedTokensPerMs * settings_.copyWeight);
        if (engine.failureDomain() != request.failureDomain)
            cost += otherDomainCost;
        if (cost < bestFreeCost && engine.hasMemoryFor(request.prompt, waiting.chains)) {
            bestFreeCost = cost;
            bestFree.engine = &engine;
            bestFree.copyFrom = worthCopying ? std::optional(holder.upstream) : std::nullopt;
            bestFree.copied = worthCopying ? holder.tokens : 0;
            bestFree.cached = cachedOrCopied;
            bestFree.backlog = estimate.backlog;
        }
    }
    return bestFree;
}

auto Placer::placeRequest(Time now, WaitingRequest waiting, const Choice& choice) -> void
{
    const auto& key = waiting.request.key;
    auto& engine = *choice.engine;
    const auto inputs = PlacementInputs { std::chrono::duration_cast<milliseconds>(choice.backlog),
        choice.cached, static_cast<std::uint32_t>(queues_.size()) };
    engine.beginRequest(now, key, waiting.request.prompt, std::move(waiting.chains), choice.copied);
    const auto upstream = engine.entry().id();
    checkTimes_.hasten(upstream, engine.overdueAt());
    placed_[key] = { upstream, waiting.request.organisation, waiting.cost, now };
    ++reach_[key.router].pending;
    quarantine_.recordPlaced(now, key, waiting.request.prompt.parts);
    shares_.recordPlaced(waiting.request.organisation, waiting.cost);
    queues_.charge(now, waiting.request.organisation, waiting.cost);
    recordThroughput(now, waiting.cost);
    decisions_.emplace_back(PlacementAccepted { key, upstream, choice.copyFrom, inputs });
    if (!engine.hasRoom(now, settings_.backlogLimit))
        std::erase(openEngines_, choice.engine);
}

auto Placer::decayedCost(Time now) const -> double
{
    return recentCost_ * std::exp(-(std::chrono::duration<double>(now - recentCostAt_) / throughputWindow));
}

auto Placer::recordThroughput(Time now, double cost) -> void
{
    recentCost_ = decayedCost(now) + cost;
    recentCostAt_ = now;
}

auto Placer::placeOneOf(Time now, OrganisationId organisation, Timeliness timeliness, std::size_t& scansLeft)
    -> bool
{
    auto& waiting = queues_.waitingOf(organisation);
    auto organisationScansLeft = maxScannedPerOrganisation;
    for (auto index = std::size_t { 0 }; index < waiting.size() && organisationScansLeft > 0 && scansLeft > 0;
         ++index) {
        if ((now > waiting[index].latestStart) != (timeliness == Timeliness::Late))
            continue;
        if (!mayPlaceFor(now, waiting[index].request.key.router) || isHeld(now, waiting[index]))
            continue;
        --scansLeft;
        --organisationScansLeft;
        const auto choice = chooseEngine(now, waiting[index]);
        if (choice.engine == nullptr)
            continue;
        placeRequest(now, queues_.take(organisation, index), choice);
        return true;
    }
    return false;
}

auto Placer::placeWaiting(Time now) -> std::vector<PlacementDecision>
{
    checkOverdue(now);
    sweepRests(now);
    quarantine_.settle(now);
    if (quarantine_.takeNewBlock())
        refuseQuarantined(now);
    if (queues_.size() > 0)
        findOpenEngines(now);
    for (const auto filter : { OrganisationFilter::Underserved, OrganisationFilter::All }) {
        placeAll(now, filter, Timeliness::OnTime);
        placeAll(now, filter, Timeliness::Late);
    }
    refuseLate(now);
    return std::exchange(decisions_, {});
}

auto Placer::placeAll(Time now, OrganisationFilter filter, Timeliness timeliness) -> void
{
    auto scansLeft = maxScannedPerPass;
    auto progress = true;
    while (progress && scansLeft > 0 && queues_.size() > 0 && !openEngines_.empty()) {
        progress = false;
        for (const auto& [organisation, underserved] : queues_.leastServedFirst()) {
            if (filter == OrganisationFilter::Underserved && !underserved)
                continue;
            if (placeOneOf(now, organisation, timeliness, scansLeft)) {
                progress = true;
                break;
            }
        }
    }
}

} // namespace camphorshunt
