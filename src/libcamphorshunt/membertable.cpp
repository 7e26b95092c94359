#include "membertable.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include <boost/json.hpp>

namespace camphorshunt {

namespace {

/** A later incarnation takes precedence, then a later refutation, then the more severe state. */
auto supersedes(const MemberUpdate& update, const Member& member) -> bool
{
    const auto severity = [](MemberState state) {
        constexpr auto order = std::array { 0, 2, 3, 1 };
        return order.at(static_cast<std::size_t>(state));
    };
    return std::tuple(update.incarnation, update.refutation, severity(update.state))
        > std::tuple(member.incarnation, member.refutation, severity(member.state));
}

} // namespace

auto Member::isLive() const -> bool
{
    const auto answers = state == MemberState::Alive || state == MemberState::Suspect;
    return answers && !listedLeaving && (listed || proven);
}

auto MemberTable::find(RouterId router) -> Member*
{
    const auto found = members_.find(router);
    return found == members_.end() ? nullptr : &found->second;
}

auto MemberTable::find(RouterId router) const -> const Member*
{
    const auto found = members_.find(router);
    return found == members_.end() ? nullptr : &found->second;
}

auto MemberTable::setListed(const VmsListed& listed, RouterId self) -> std::vector<RouterId>
{
    for (auto& [router, member] : members_)
        member.listed = false;

    auto changedEndpoints = std::vector<RouterId> {};
    for (const auto& vm : listed.vms) {
        const auto router = idOf<RouterId>(vm.name);
        if (vm.role != VmRole::Router || router == self)
            continue;
        auto& member = members_[router];
        if (member.endpoint != vm.endpoint)
            changedEndpoints.push_back(router);
        member.endpoint = vm.endpoint;
        member.listed = true;
        member.listedLeaving = vm.leaving;
    }
    return changedEndpoints;
}

auto MemberTable::applyUpdate(Time now, const MemberUpdate& update, Duration suspicionTime) -> bool
{
    // Updates on routers that are neither listed nor connected are ignored: such routers can't be reached.
    auto* const member = find(update.router);
    if (member == nullptr || !supersedes(update, *member))
        return false;

    if (member->state != update.state || member->incarnation != update.incarnation)
        changes_.push_back({ update.router, update.incarnation, update.state });
    member->incarnation = update.incarnation;
    member->refutation = update.refutation;
    member->state = update.state;
    member->deadAt.reset();
    if (update.state == MemberState::Suspect)
        member->deadAt = now + suspicionTime;
    return true;
}

auto MemberTable::updateOf(RouterId router) const -> std::optional<MemberUpdate>
{
    const auto* const member = find(router);
    if (member == nullptr || member->incarnation.value == 0)
        return std::nullopt;
    return MemberUpdate { router, member->incarnation, member->state, member->refutation };
}

auto MemberTable::postponeTimeouts(Duration time) -> void
{
    for (auto& [router, member] : members_) {
        if (member.deadAt)
            *member.deadAt += time;
        if (member.lostAt)
            *member.lostAt += time;
    }
}

auto MemberTable::removeUnlistedDead() -> std::vector<RouterId>
{
    auto removed = std::vector<RouterId> {};
    std::erase_if(members_, [&removed](const auto& entry) {
        const auto& [router, member] = entry;
        const auto isRemovable = !member.listed && !member.connected && member.state == MemberState::Dead;
        if (isRemovable)
            removed.push_back(router);
        return isRemovable;
    });
    return removed;
}

auto MemberTable::takeChanges() -> std::vector<MemberChange> { return std::exchange(changes_, {}); }

auto MemberTable::expectedCount() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        members_, [](const auto& entry) { return entry.second.listed && !entry.second.listedLeaving; }));
}

auto MemberTable::status() const -> boost::json::array
{
    auto members = boost::json::array {};
    for (const auto& [router, member] : members_) {
        members.push_back({ { "router", router.value }, { "state", memberStateName(member.state) },
            { "endpoint", member.endpoint.text() }, { "incarnation", member.incarnation.value },
            { "listed", member.listed }, { "leaving", member.listedLeaving },
            { "connected", member.connected } });
    }
    return members;
}

auto memberStateName(MemberState state) -> const char*
{
    constexpr auto names = std::array { "alive", "suspect", "dead", "draining" };
    return names.at(static_cast<std::size_t>(state));
}

} // namespace camphorshunt
