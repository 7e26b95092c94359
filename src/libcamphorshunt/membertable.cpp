#include "membertable.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include <boost/json.hpp>

namespace camphorshunt {

namespace {

/** Of two claims about one run of a router, the later refutation wins, then the graver state. */
auto supersedes(const MemberNews& news, const Member& member) -> bool
{
    const auto gravity = [](MemberState state) {
        constexpr auto order = std::array { 0, 2, 3, 1 };
        return order.at(static_cast<std::size_t>(state));
    };
    return std::tuple(news.incarnation, news.refutation, gravity(news.state))
        > std::tuple(member.incarnation, member.refutation, gravity(member.state));
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

    auto moved = std::vector<RouterId> {};
    for (const auto& vm : listed.vms) {
        const auto router = idOf<RouterId>(vm.name);
        if (vm.role != VmRole::Router || router == self)
            continue;
        auto& member = members_[router];
        if (member.endpoint != vm.endpoint)
            moved.push_back(router);
        member.endpoint = vm.endpoint;
        member.listed = true;
        member.listedLeaving = vm.leaving;
    }
    return moved;
}

auto MemberTable::apply(Time now, const MemberNews& news, Duration suspicionTime) -> bool
{
    // A router that is neither listed nor connected cannot be reached; its news is of no use here.
    auto* const member = find(news.router);
    if (member == nullptr || !supersedes(news, *member))
        return false;

    if (member->state != news.state || member->incarnation != news.incarnation)
        changes_.push_back({ news.router, news.incarnation, news.state });
    member->incarnation = news.incarnation;
    member->refutation = news.refutation;
    member->state = news.state;
    member->deadAt.reset();
    if (news.state == MemberState::Suspect)
        member->deadAt = now + suspicionTime;
    return true;
}

auto MemberTable::newsOf(RouterId router) const -> std::optional<MemberNews>
{
    const auto* const member = find(router);
    if (member == nullptr || member->incarnation.value == 0)
        return std::nullopt;
    return MemberNews { router, member->incarnation, member->state, member->refutation };
}

auto MemberTable::delay(Duration time) -> void
{
    for (auto& [router, member] : members_) {
        if (member.deadAt)
            *member.deadAt += time;
        if (member.lostAt)
            *member.lostAt += time;
    }
}

auto MemberTable::takeGone() -> std::vector<RouterId>
{
    auto gone = std::vector<RouterId> {};
    std::erase_if(members_, [&gone](const auto& entry) {
        const auto& [router, member] = entry;
        const auto isGone = !member.listed && !member.connected && member.state == MemberState::Dead;
        if (isGone)
            gone.push_back(router);
        return isGone;
    });
    return gone;
}

auto MemberTable::takeChanges() -> std::vector<MemberChange> { return std::exchange(changes_, {}); }

auto MemberTable::expected() const -> std::size_t
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
