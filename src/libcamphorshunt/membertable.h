#pragma once

#include <map>
#include <optional>
#include <vector>

#include <boost/json/array.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/event.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"
#include "camphorshunt/time.h"

#include "membership.h"

namespace camphorshunt {

/** What one router believes of another. */
struct Member {
    Endpoint endpoint;
    Incarnation incarnation;
    std::uint32_t refutation {};
    MemberState state = MemberState::Dead;
    bool listed {};
    bool listedLeaving {};
    bool connected {};
    /** A handshake has proved that this router exists. */
    bool proven {};
    /** When its connection was lost, until that is settled. */
    std::optional<Time> lostAt;
    /** When a suspect is taken for dead. */
    std::optional<Time> deadAt;

    /** May hold duties. */
    auto isLive() const -> bool;
};

/** The other routers as one router believes them to be. */
class MemberTable {
public:
    /** A router that is on the VM list, or connected. */
    auto add(RouterId router) -> Member& { return members_[router]; }
    auto find(RouterId router) -> Member*;
    auto find(RouterId router) const -> const Member*;
    auto contains(RouterId router) const -> bool { return members_.contains(router); }
    auto size() const -> std::size_t { return members_.size(); }
    auto begin() { return members_.begin(); }
    auto end() { return members_.end(); }
    auto begin() const { return members_.begin(); }
    auto end() const { return members_.end(); }

    /** Takes over the VM list, and gives those whose end point is new. */
    auto setListed(const VmsListed& listed, RouterId self) -> std::vector<RouterId>;
    /** Believes the news if it supersedes what is known; a suspect dies after `suspicionTime`. */
    auto applyUpdate(Time now, const MemberUpdate& update, Duration suspicionTime) -> bool;
    auto updateOf(RouterId router) const -> std::optional<MemberUpdate>;
    /** Moves all that is due by so much. */
    auto postponeTimeouts(Duration time) -> void;
    /** Removes the dead that are neither listed nor connected. */
    auto removeUnlistedDead() -> std::vector<RouterId>;
    /** Changes of state since the last call. */
    auto takeChanges() -> std::vector<MemberChange>;
    /** Listed and not marked as leaving. */
    auto expectedCount() const -> std::size_t;
    auto status() const -> boost::json::array;

private:
    std::map<RouterId, Member> members_;
    std::vector<MemberChange> changes_;
};

auto memberStateName(MemberState state) -> const char*;

} // namespace camphorshunt
