#include "upstreamhealth.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace camphorshunt {

namespace {

/** Sum of the weights of consecutive failures at which an upstream is ejected. */
constexpr auto ejectAfterFailures = 3.0;
/** Consecutive failed load reports after which an upstream is ejected. */
constexpr auto ejectAfterLoadFailures = std::uint32_t { 5 };
/** Fraction of failed attempts at which an upstream is ejected, once it has `minRatedAttempts`. */
constexpr auto ejectFailureRate = 0.5;
constexpr auto minRatedAttempts = 10.0;
constexpr auto failureRateHalfLife = Duration { 10s };

constexpr auto minEjection = Duration { 5s };
constexpr auto maxEjection = Duration { 60s };
constexpr auto ejectionJitter = 0.2;
/** If an upstream's last ejection ended longer ago than this, its next one has the minimum length again. */
constexpr auto ejectionResetTime = Duration { 120s };

/** Load reports lag: the next reduction waits until they can show the effect of the last. */
constexpr auto reductionInterval = Duration { 500ms };
constexpr auto reductionFactor = 0.85;

constexpr auto budgetFloor = 3.0;
constexpr auto budgetCeiling = 30.0;
constexpr auto floorRefillPerSecond = 0.1;

auto failureWeight(AttemptResult result) -> double
{
    switch (result) {
    case AttemptResult::Crossed:
        return 2.0;
    case AttemptResult::Silent:
        return 1.5;
    case AttemptResult::NotSent:
    case AttemptResult::Broken:
        return 1.0;
    case AttemptResult::Complete:
    case AttemptResult::Refused:
    case AttemptResult::Failed:
    case AttemptResult::Cancelled:
        return 0.0;
    }
    return 0.0;
}

/** Doubles with each ejection up to the maximum. The jitter keeps trials of different upstreams apart. */
auto ejectionTime(UpstreamId upstream, std::uint32_t ejections) -> Duration
{
    const auto doublings = std::min(ejections, std::uint32_t { 8 });
    const auto time = std::min(minEjection * (1U << doublings), maxEjection);
    const auto key = std::array { upstream.value, std::uint64_t { ejections } };
    const auto unit = std::ldexp(static_cast<double>(XXH64(key.data(), sizeof(key), 0) >> 11U), -53);
    const auto factor = 1.0 + ejectionJitter * (2.0 * unit - 1.0);
    return Duration(std::llround(static_cast<double>(time.count()) * factor));
}

auto seconds(Duration duration) -> double { return std::chrono::duration<double>(duration).count(); }

} // namespace

auto UpstreamHealth::State::decay(Time now) -> void
{
    const auto factor = std::exp2(-seconds(now - decayedAt) / seconds(failureRateHalfLife));
    decayedAt = now;
    recentAttempts *= factor;
    recentFailures *= factor;
}

auto UpstreamHealth::setDocument(const Document& document) -> void
{
    auto previous = std::exchange(states_, {});
    order_.clear();
    ejectFraction_ = document.dispatch.ejectFraction;
    for (const auto& upstream : document.upstreams) {
        auto& state = states_[upstream.id];
        if (const auto known = previous.find(upstream.id); known != previous.end())
            state = std::move(known->second);
        const auto atCeiling = state.limit >= state.documentSlots;
        state.name = upstream.name;
        state.shard = document.shardOf(upstream.id);
        state.documentSlots = upstream.slots;
        state.documentLeaving = upstream.leaving;
        state.limit = atCeiling ? upstream.slots : std::min<double>(state.limit, upstream.slots);
        order_.push_back(upstream.id);
    }
}

auto UpstreamHealth::setLeaving(std::span<const std::string> names) -> void
{
    for (auto& [id, state] : states_)
        state.listedLeaving = std::ranges::find(names, state.name) != names.end();
}

auto UpstreamHealth::recordAttemptEnd(Time now, UpstreamId upstream, AttemptResult result, bool leaving)
    -> void
{
    auto* const state = find(upstream);
    if (state == nullptr)
        return;
    state->reportedLeaving = state->reportedLeaving || leaving;

    if (result == AttemptResult::Complete || result == AttemptResult::Failed)
        recordSuccess(now, *state);
    else if (result == AttemptResult::Refused)
        reduceLimit(now, *state);
    else if (const auto weight = failureWeight(result); weight > 0.0)
        recordFailure(now, upstream, *state, weight);
}

auto UpstreamHealth::recordLoad(Time now, const LoadReported& load) -> void
{
    auto* const state = find(load.upstream);
    if (state == nullptr)
        return;
    state->loadFailures = 0;
    // The upstream reports this itself and may revoke it.
    state->reportedLeaving = load.leaving;
    if (load.waiting > 0) {
        reduceLimit(now, *state);
        return;
    }
    const auto reported = load.slots > 0 ? std::min(load.slots, state->documentSlots) : state->documentSlots;
    state->limit = std::min<double>(state->limit + 1.0, reported);
}

auto UpstreamHealth::recordLoadFailure(Time now, UpstreamId upstream) -> void
{
    auto* const state = find(upstream);
    if (state == nullptr)
        return;
    if (++state->loadFailures >= ejectAfterLoadFailures)
        ejectIfAllowed(now, upstream, *state);
}

auto UpstreamHealth::capacities(Time now, std::uint32_t shard) -> std::vector<UpstreamCapacity>
{
    auto result = std::vector<UpstreamCapacity> {};
    for (const auto upstream : order_) {
        const auto& state = states_.at(upstream);
        if (state.shard != shard)
            continue;
        auto slots = static_cast<std::uint32_t>(state.limit);
        if (state.onTrial)
            slots = std::min(slots, std::uint32_t { 1 });
        if (state.isLeaving() || state.isEjected(now))
            slots = 0;
        result.push_back({ upstream, slots });
    }
    return result;
}

auto UpstreamHealth::accepts(UpstreamId upstream) const -> bool
{
    const auto found = states_.find(upstream);
    return found != states_.end() && !found->second.isLeaving();
}

auto UpstreamHealth::isEjected(Time now, UpstreamId upstream) const -> bool
{
    const auto found = states_.find(upstream);
    return found != states_.end() && found->second.isEjected(now);
}

auto UpstreamHealth::find(UpstreamId upstream) -> State*
{
    const auto found = states_.find(upstream);
    return found == states_.end() ? nullptr : &found->second;
}

auto UpstreamHealth::recordSuccess(Time now, State& state) -> void
{
    state.decay(now);
    state.consecutiveFailures = 0;
    state.recentAttempts += 1.0;
    // A success of work that was sent before the ejection doesn't end the trial.
    if (!state.isEjected(now))
        state.onTrial = false;
}

auto UpstreamHealth::recordFailure(Time now, UpstreamId upstream, State& state, double weight) -> void
{
    state.decay(now);
    state.recentAttempts += 1.0;
    state.recentFailures += std::min(weight, 1.0);
    state.consecutiveFailures += weight;

    const auto failsOften = state.recentAttempts >= minRatedAttempts
        && state.recentFailures >= ejectFailureRate * state.recentAttempts;
    if (state.onTrial || failsOften || state.consecutiveFailures >= ejectAfterFailures)
        ejectIfAllowed(now, upstream, state);
}

auto UpstreamHealth::reduceLimit(Time now, State& state) -> void
{
    if (state.reducedAt && now < *state.reducedAt + reductionInterval)
        return;
    state.reducedAt = now;
    state.limit = std::min<double>(std::max(1.0, state.limit * reductionFactor), state.documentSlots);
}

auto UpstreamHealth::ejectIfAllowed(Time now, UpstreamId upstream, State& state) -> void
{
    if (state.isEjected(now))
        return;
    auto total = std::size_t { 0 };
    auto ejected = std::size_t { 0 };
    for (const auto& [id, other] : states_) {
        total += other.shard == state.shard ? 1 : 0;
        ejected += other.shard == state.shard && other.isEjected(now) ? 1 : 0;
    }
    const auto allowed = static_cast<std::size_t>(std::floor(ejectFraction_ * static_cast<double>(total)));
    if (ejected >= allowed)
        return;

    if (state.ejectedUntil && now - *state.ejectedUntil > ejectionResetTime)
        state.ejections = 0;
    state.ejectedUntil = now + ejectionTime(upstream, state.ejections++);
    state.onTrial = true;
    state.consecutiveFailures = 0;
    state.loadFailures = 0;
    state.recentAttempts = 0;
    state.recentFailures = 0;
}

auto RetryBudget::recordRequest(Time now) -> void
{
    refill(now);
    tokens_ = std::max(tokens_, std::min(tokens_ + fraction_, budgetCeiling));
}

auto RetryBudget::tryAcquire(Time now) -> bool
{
    refill(now);
    if (tokens_ < 1.0)
        return false;
    tokens_ -= 1.0;
    return true;
}

auto RetryBudget::refill(Time now) -> void
{
    const auto passed = refilledAt_ ? seconds(now - *refilledAt_) : 0.0;
    refilledAt_ = now;
    if (tokens_ < budgetFloor)
        tokens_ = std::min(budgetFloor, tokens_ + passed * floorRefillPerSecond);
}

} // namespace camphorshunt
