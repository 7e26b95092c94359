#include "servicebalancer.h"

#include <algorithm>
#include <limits>

namespace camphorshunt {

namespace {

/** Weight of the last request in the moving average of failures. */
constexpr auto failureShareGain = 0.1;
/** Added to the score of an upstream that always fails, in requests in progress. */
constexpr auto failureShareWeight = 8.0;
/** Added to the score of an upstream in another failure domain, in requests in progress. */
constexpr auto otherDomainWeight = 0.6;
constexpr auto minSuspension = Duration(std::chrono::milliseconds(250));
constexpr auto maxSuspension = Duration(std::chrono::milliseconds(2000));
constexpr auto misdirectedSuspension = Duration(std::chrono::milliseconds(1000));

auto isFault(PlacementEnd end) -> bool
{
    return end != PlacementEnd::Finished && end != PlacementEnd::Cancelled;
}

} // namespace

auto ServiceBalancer::setUpstreams(std::span<const UpstreamEntry> entries) -> void
{
    auto next = absl::flat_hash_map<UpstreamId, Upstream> {};
    for (const auto& entry : entries) {
        if (entry.draining)
            continue;
        auto upstream = Upstream {};
        const auto found = upstreams_.find(entry.id());
        if (found != upstreams_.end() && found->second.entry.startedAt == entry.startedAt)
            upstream = found->second;
        upstream.entry = entry;
        upstream.failureDomain = hashName(entry.failureDomain);
        next.emplace(entry.id(), std::move(upstream));
    }
    upstreams_ = std::move(next);
}

auto ServiceBalancer::score(const Upstream& upstream, std::uint64_t failureDomain) -> double
{
    auto tieBreak = std::uniform_real_distribution<double>(0, 0.5);
    const auto distance = upstream.failureDomain == failureDomain ? 0.0 : otherDomainWeight;
    return upstream.running + failureShareWeight * upstream.failureShare + distance + tieBreak(random_);
}

auto ServiceBalancer::choose(Time now, std::uint64_t failureDomain, std::span<const UpstreamId> avoid)
    -> const UpstreamEntry*
{
    // If all upstreams are suspended, the best of them is chosen nevertheless; the request probes it.
    constexpr auto suspendedPenalty = 1000.0;
    const auto* best = static_cast<const UpstreamEntry*>(nullptr);
    auto bestScore = std::numeric_limits<double>::max();
    for (const auto& [id, upstream] : upstreams_) {
        if (std::ranges::find(avoid, id) != avoid.end() || !availability_.maySend(now, upstream.entry))
            continue;
        const auto penalty = now < upstream.suspendedUntil ? suspendedPenalty : 0.0;
        const auto total = score(upstream, failureDomain) + penalty;
        if (total < bestScore) {
            bestScore = total;
            best = &upstream.entry;
        }
    }
    return best;
}

auto ServiceBalancer::outlook(Time now) const -> Outlook
{
    auto outlook = Outlook {};
    for (const auto& [id, upstream] : upstreams_) {
        const auto from = availability_.sendableFrom(now, upstream.entry.process());
        if (!from)
            outlook.leaving = true;
        else if (*from == now)
            outlook.usable = true;
        else
            outlook.restEnds = std::min(outlook.restEnds.value_or(*from), *from);
    }
    return outlook;
}

auto ServiceBalancer::rests(Time now, UpstreamId id) const -> bool
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return false;
    const auto from = availability_.sendableFrom(now, found->second.entry.process());
    return from && *from > now;
}

auto ServiceBalancer::requestStarted(UpstreamId upstream) -> void
{
    const auto found = upstreams_.find(upstream);
    if (found != upstreams_.end())
        ++found->second.running;
}

auto ServiceBalancer::requestEnded(Time now, UpstreamId id, PlacementEnd end) -> void
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    auto& upstream = found->second;
    if (upstream.running > 0)
        --upstream.running;
    if (end == PlacementEnd::Cancelled)
        return;
    upstream.failureShare += failureShareGain * ((isFault(end) ? 1.0 : 0.0) - upstream.failureShare);
    if (!isFault(end) || end == PlacementEnd::Failed) {
        upstream.failuresInRow = 0;
        return;
    }
    const auto first = end == PlacementEnd::Misdirected ? misdirectedSuspension : minSuspension;
    constexpr auto maxDoublings = 4U;
    const auto length = first * (1U << std::min(upstream.failuresInRow, maxDoublings));
    ++upstream.failuresInRow;
    upstream.suspendedUntil = now + std::min(length, maxSuspension);
}

} // namespace camphorshunt
