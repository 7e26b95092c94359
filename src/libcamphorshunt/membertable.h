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

/** State of another router as this router sees it. */
struct Member {
    Endpoint endpoint;
    Incarnation incarnation;
    std::uint32_t refutation {};
    MemberState state = MemberState::Dead;
    bool listed {};
    bool listedLeaving {};
    bool connected {};
    /** A peer connection with this router was established at least once. */
    bool proven {};
    /**
     * When the connection was lost. Reset on reconnection, on an ack to a probe, and when the suspicion
     * starts.
     */
    std::optional<Time> lostAt;
    /** When a suspect is declared dead. */
    std::optional<Time> deadAt;

    /** True if the router may hold duties. */
    auto isLive() const -> bool;
};

/** The other routers of the fleet, with their state as this router sees it. */
class MemberTable {
public:
    /** Returns the entry of a listed or connected router; creates it if missing. */
    auto add(RouterId router) -> Member& { return members_[router]; }
    auto find(RouterId router) -> Member*;
    auto find(RouterId router) const -> const Member*;
    auto contains(RouterId router) const -> bool { return members_.contains(router); }
    auto size() const -> std::size_t { return members_.size(); }
    auto begin() { return members_.begin(); }
    auto end() { return members_.end(); }
    auto begin() const { return members_.begin(); }
    auto end() const { return members_.end(); }

    /** Applies the VM list. Returns the routers whose endpoint has changed. */
    auto setListed(const VmsListed& listed, RouterId self) -> std::vector<RouterId>;
    /**
     * Applies an update if it supersedes the known state, and returns whether it did. A suspect is declared
     * dead after `suspicionTime`.
     */
    auto applyUpdate(Time now, const MemberUpdate& update, Duration suspicionTime) -> bool;
    /** The known state of a router as an update; empty if its incarnation is unknown. */
    auto updateOf(RouterId router) const -> std::optional<MemberUpdate>;
    /** Postpones all suspicion and reconnection timeouts. */
    auto postponeTimeouts(Duration time) -> void;
    /** Removes dead routers that are neither listed nor connected, and returns them. */
    auto removeUnlistedDead() -> std::vector<RouterId>;
    /** Changes of state since the last call. */
    auto takeChanges() -> std::vector<MemberChange>;
    /** Number of listed routers that are not marked as leaving. */
    auto expectedCount() const -> std::size_t;
    auto status() const -> boost::json::array;

private:
    std::map<RouterId, Member> members_;
    std::vector<MemberChange> changes_;
};

auto memberStateName(MemberState state) -> const char*;

} // namespace camphorshunt
