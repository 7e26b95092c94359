#include "remotetotals.h"

#include <algorithm>

namespace camphorshunt {

namespace {

/** Incarnations of one shard's dispatcher that are tracked; older ones have long ended. */
constexpr auto kMaxIncarnationsPerShard = std::size_t { 4 };

} // namespace

auto RemoteTotals::increments(const Totals& totals) -> std::vector<ServiceTotal>
{
    auto& source = totalsOf(totals);
    auto added = std::vector<ServiceTotal> {};
    added.reserve(totals.totals.size());
    for (const auto& [organisation, units] : totals.totals) {
        const auto [base, first] = source.bases.try_emplace(organisation, 0.0);
        const auto decreased = units < base->second;
        const auto increment = decreased ? units : units - base->second;
        const auto counted
            = (first && !source.observedFromStart) || decreased ? std::min(increment, quantum_) : increment;
        base->second = units;
        if (counted > 0)
            added.push_back(ServiceTotal { organisation, counted });
    }
    return added;
}

auto RemoteTotals::totalsOf(const Totals& totals) -> IncarnationTotals&
{
    auto& incarnations = incarnations_[totals.shard];
    const auto found = std::ranges::find(incarnations, totals.dispatcher, &IncarnationTotals::dispatcher);
    if (found != incarnations.end())
        return *found;
    // An incarnation that follows another one of the same shard, or that is newer than this dispatcher, has
    // been observed from its first unit on.
    const auto observedFromStart = !incarnations.empty() || totals.dispatcher > self_;
    if (incarnations.size() == kMaxIncarnationsPerShard)
        incarnations.erase(incarnations.begin());
    return incarnations.emplace_back(IncarnationTotals { totals.dispatcher, observedFromStart, {} });
}

} // namespace camphorshunt
