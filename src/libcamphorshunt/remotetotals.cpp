#include "remotetotals.h"

#include <algorithm>

namespace camphorshunt {

namespace {

/** Runs of one shard that are told apart; an older one is long over. */
constexpr auto kRunsKept = std::size_t { 4 };

} // namespace

auto RemoteTotals::increments(const Totals& totals) -> std::vector<ServiceTotal>
{
    auto& known = run(totals);
    auto added = std::vector<ServiceTotal> {};
    added.reserve(totals.totals.size());
    for (const auto& [organisation, units] : totals.totals) {
        const auto [base, first] = known.bases.try_emplace(organisation, 0.0);
        const auto wentBack = units < base->second;
        const auto increment = wentBack ? units : units - base->second;
        const auto counted = (first && !known.whole) || wentBack ? std::min(increment, quantum_) : increment;
        base->second = units;
        if (counted > 0)
            added.push_back(ServiceTotal { organisation, counted });
    }
    return added;
}

auto RemoteTotals::run(const Totals& totals) -> Run&
{
    auto& runs = runs_[totals.shard];
    const auto found = std::ranges::find(runs, totals.dispatcher, &Run::dispatcher);
    if (found != runs.end())
        return *found;
    // A run met after an earlier one of the same shard, or younger than this dispatcher, is known from its
    // first unit on.
    const auto whole = !runs.empty() || totals.dispatcher > self_;
    if (runs.size() == kRunsKept)
        runs.erase(runs.begin());
    return runs.emplace_back(Run { totals.dispatcher, whole, {} });
}

} // namespace camphorshunt
