#include "placer.h"

#include <algorithm>

// Engines that leave or want rest from some of the routers, and routers that reach no engine.

namespace camphorshunt {

namespace {

/** Time until another engine can be expected if all of them leave. */
constexpr auto replacementTime = Duration(std::chrono::milliseconds(1000));
constexpr auto restSweepInterval = Duration(std::chrono::milliseconds(1000));
/** Requests of a router whose connections fail that may try at a time; others would keep engines for nothing.
 */
constexpr auto maxPendingOfFailing = std::size_t { 2 };

} // namespace

auto Placer::recordLeaving(Time now, UpstreamId engine) -> void
{
    const auto found = engines_.find(engine);
    if (found != engines_.end())
        recordLeaving(now, found->second.entry().process());
}

auto Placer::recordLeaving(Time now, const UpstreamProcess& process) -> void
{
    if (leaving_.recordLeaving(now, process))
        refuseAllUnavailable(now);
}

auto Placer::recordRest(Time now, UpstreamId engine, RouterId router, Time until) -> void
{
    const auto found = engines_.find(engine);
    if (found != engines_.end())
        recordRest(now, found->second.entry().process(), router, until);
}

auto Placer::recordRest(Time now, const UpstreamProcess& process, RouterId router, Time until) -> void
{
    rests_[router].recordRest(now, process, until);
    refuseAllUnavailable(now);
}

auto Placer::isLeaving(const EngineModel& engine) const -> bool
{
    return engine.entry().draining || !leaving_.sendableFrom(Time {}, engine.entry().process());
}

auto Placer::restsOf(RouterId router) const -> const UpstreamAvailability*
{
    const auto found = rests_.find(router);
    return found == rests_.end() ? nullptr : &found->second;
}

auto Placer::firstAvailable(Time now, const WaitingRequest& waiting) const -> std::optional<Time>
{
    const auto* const rests = restsOf(waiting.request.key.router);
    auto first = std::optional<Time> {};
    for (const auto& [id, engine] : engines_) {
        if (isLeaving(engine) || engine.isTooSmallFor(waiting.request.prompt) || waiting.request.avoids(id))
            continue;
        const auto from
            = rests == nullptr ? now : rests->sendableFrom(now, engine.entry().process()).value_or(now);
        first = std::min(first.value_or(from), from);
        if (first == now)
            break;
    }
    return first;
}

auto Placer::isUnavailable(Time now, const WaitingRequest& waiting) const -> bool
{
    const auto first = firstAvailable(now, waiting);
    return !first || (*first > now && *first > waiting.latestStart);
}

auto Placer::hasPlaceAfterRest(Time now, const WaitingRequest& waiting) const -> bool
{
    const auto* const rests = restsOf(waiting.request.key.router);
    const auto first = rests == nullptr ? now : firstAvailable(now, waiting).value_or(now);
    if (first == now)
        return false;
    auto places = std::size_t { 0 };
    for (const auto& [id, engine] : engines_) {
        const auto from = rests->sendableFrom(now, engine.entry().process());
        if (from && *from <= waiting.latestStart && !isLeaving(engine) && engine.running() < engine.slots())
            places += engine.slots() - engine.running();
    }
    return queues_.size() < places;
}

auto Placer::refuseUnavailable(Time now, const WaitingRequest& waiting) -> void
{
    auto earliest = firstAvailable(now, waiting);
    if (!earliest) {
        const auto allLeave = std::ranges::any_of(engines_, [this, &waiting](const auto& engine) {
            return isLeaving(engine.second) && !engine.second.isTooSmallFor(waiting.request.prompt)
                && !waiting.request.avoids(engine.first);
        });
        earliest = allLeave ? now + replacementTime : now;
    }
    refuse(now, waiting, RefusalReason::NoUpstream, *earliest);
}

auto Placer::refuseAllUnavailable(Time now) -> void
{
    const auto unavailable = queues_.removeIf(
        [this, now](const WaitingRequest& waiting) { return isUnavailable(now, waiting); });
    for (const auto& waiting : unavailable)
        refuseUnavailable(now, waiting);
}

auto Placer::sweepRests(Time now) -> void
{
    if (now < nextRestSweep_)
        return;
    nextRestSweep_ = now + restSweepInterval;
    leaving_.sweep(now);
    absl::erase_if(rests_, [now](auto& rests) {
        rests.second.sweep(now);
        return rests.second.size() == 0;
    });
}

auto Placer::mayPlaceFor(Time now, RouterId router) const -> bool
{
    const auto found = reach_.find(router);
    return found == reach_.end() || found->second.pending < maxPendingOfFailing
        || !found->second.rate.isFailing(now);
}

auto Placer::endPending(const PlacementKey& key, const PlacedRequest& placed) -> void
{
    const auto found = reach_.find(key.router);
    if (!placed.begun && found != reach_.end() && found->second.pending > 0)
        --found->second.pending;
}

auto Placer::isWithoutService(Time now, RouterId router, const EngineModel& engine, PlacementEnd end) const
    -> bool
{
    switch (end) {
    case PlacementEnd::Full:
    case PlacementEnd::Misdirected:
    case PlacementEnd::Unreachable:
    case PlacementEnd::Silent:
        return true;
    case PlacementEnd::Cancelled: {
        const auto* const rests = restsOf(router);
        return isLeaving(engine) || (rests != nullptr && !rests->maySend(now, engine.entry()));
    }
    case PlacementEnd::Finished:
    case PlacementEnd::Broken:
    case PlacementEnd::Failed:
        return false;
    }
    return false;
}

} // namespace camphorshunt
