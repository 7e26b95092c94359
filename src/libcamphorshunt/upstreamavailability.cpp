#include "upstreamavailability.h"

#include <algorithm>
#include <utility>

namespace camphorshunt {

auto UpstreamAvailability::update(Time now, const UpstreamProcess& process) -> State*
{
    const auto [found, isNew] = states_.try_emplace(process.upstream);
    auto& state = found->second;
    state.changedAt = now;
    if (isNew || process.isLaterThan(state.process)) {
        state = State { process, false, {}, now, now };
        return &state;
    }
    return state.process.isLaterThan(process) ? nullptr : &state;
}

auto UpstreamAvailability::recordLeaving(Time now, const UpstreamProcess& process) -> bool
{
    auto* const state = update(now, process);
    return state != nullptr && !std::exchange(state->leaving, true);
}

auto UpstreamAvailability::recordRest(Time now, const UpstreamProcess& process, Time until) -> bool
{
    if (until <= now)
        return false;
    auto* const state = update(now, process);
    if (state == nullptr)
        return false;
    const auto begins = state->restsUntil == Time {} && !state->leaving;
    state->restsUntil = std::max(state->restsUntil, std::min(until, now + longestRest));
    return begins;
}

auto UpstreamAvailability::setUpstreams(Time now, std::span<const UpstreamEntry> entries) -> bool
{
    updateStates(now, entries);
    auto evacuated = absl::flat_hash_set<UpstreamId> {};
    for (const auto& entry : entries) {
        if (entry.evacuated)
            evacuated.insert(entry.id());
    }
    const auto changed = evacuated != evacuated_;
    evacuated_ = std::move(evacuated);
    return changed;
}

auto UpstreamAvailability::updateStates(Time now, std::span<const UpstreamEntry> entries) -> void
{
    if (states_.empty())
        return;
    for (auto& [id, state] : states_) {
        if (!state.unlistedSince)
            state.unlistedSince = now;
    }
    for (const auto& entry : entries) {
        const auto found = states_.find(entry.id());
        if (found == states_.end())
            continue;
        auto& state = found->second;
        if (entry.process().isLaterThan(state.process))
            state = State { entry.process(), false, {}, now, now };
        else if (state.process.startedAt.count() == 0 && state.process.endpoint == entry.endpoint)
            state.process = entry.process();
        state.unlistedSince.reset();
    }
}

auto UpstreamAvailability::sweep(Time now) -> std::vector<UpstreamId>
{
    auto rested = std::vector<UpstreamId> {};
    absl::erase_if(states_, [now, &rested](auto& item) {
        auto& [id, state] = item;
        if (state.restsUntil != Time {} && now >= state.restsUntil) {
            state.restsUntil = {};
            if (!state.leaving)
                rested.push_back(id);
        }
        if (state.restsUntil != Time {})
            return false;
        if (state.leaving)
            return state.unlistedSince && now - *state.unlistedSince > retention;
        return now - state.changedAt > retention;
    });
    return rested;
}

auto UpstreamAvailability::sendableFrom(Time now, const UpstreamProcess& process) const -> std::optional<Time>
{
    if (evacuated_.contains(process.upstream))
        return std::nullopt;
    const auto found = states_.find(process.upstream);
    if (found == states_.end() || process.isLaterThan(found->second.process))
        return now;
    const auto& state = found->second;
    // A process that was replaced has ended.
    if (state.leaving || state.process.isLaterThan(process))
        return std::nullopt;
    return std::max(now, state.restsUntil);
}

auto UpstreamAvailability::maySend(Time now, const UpstreamEntry& entry) const -> bool
{
    return (states_.empty() && evacuated_.empty()) || sendableFrom(now, entry.process()) == now;
}

auto UpstreamAvailability::leaving() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(states_, [](const auto& item) { return item.second.leaving; }));
}

auto UpstreamAvailability::resting(Time now) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        states_, [now](const auto& item) { return !item.second.leaving && now < item.second.restsUntil; }));
}

} // namespace camphorshunt
