#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <boost/json/fwd.hpp>

#include "camphorshunt/core.h"

#include "claimsmanager.h"
#include "documentmanager.h"
#include "dutytable.h"
#include "membership.h"
#include "requestflow.h"

namespace camphorshunt {

/** Connects the parts of the core: passes each event to the parts it concerns and applies its effects. */
class CoreImpl final : public Core {
public:
    explicit CoreImpl(const CoreSettings& settings);

    auto handle(Time now, const Event& event, Actions& actions) -> void override;
    auto status(Time now) const -> std::string override;

private:
    auto apply(Time now, const RequestArrived& arrived, Actions& actions) -> void;
    auto apply(Time now, const CallerGone& gone, Actions& actions) -> void;
    auto apply(Time now, const AttemptProgress& progress, Actions& actions) -> void;
    auto apply(Time now, const AttemptEnded& ended, Actions& actions) -> void;
    auto apply(Time now, const LoadReported& load, Actions& actions) -> void;
    auto apply(Time now, const LoadFailed& failed, Actions& actions) -> void;
    auto apply(Time now, const PeerConnected& connected, Actions& actions) -> void;
    auto apply(Time now, const PeerDisconnected& disconnected, Actions& actions) -> void;
    auto apply(Time now, const PeerReceived& received, Actions& actions) -> void;
    auto apply(Time now, const LogRead& read, Actions& actions) -> void;
    auto apply(Time now, const LogUnavailable& unavailable, Actions& actions) -> void;
    auto apply(Time now, const AppendEnded& ended, Actions& actions) -> void;
    auto apply(Time now, const VmsListed& listed, Actions& actions) -> void;
    auto apply(Time now, const VmListUnavailable& unavailable, Actions& actions) -> void;
    auto apply(Time now, const DrainRequested& drain, Actions& actions) -> void;
    auto apply(Time now, const Tick& tick, Actions& actions) -> void;

    auto receive(Time now, RouterId from, const Demand& demand, Actions& actions) -> void;
    auto receive(Time now, RouterId from, const Grants& grants, Actions& actions) -> void;
    auto receive(Time now, RouterId from, const Ends& ends, Actions& actions) -> void;
    auto receive(Time now, RouterId from, const Totals& totals, Actions& actions) -> void;
    auto receive(Time now, RouterId from, const Probe& probe, Actions& actions) -> void;
    auto receive(Time now, RouterId from, const ProbeAck& ack, Actions& actions) -> void;
    auto receive(Time now, RouterId from, const DocumentRequest& request, Actions& actions) -> void;
    auto receive(Time now, RouterId from, const DocumentTransfer& transfer, Actions& actions) -> void;
    auto receive(Time now, RouterId from, const ClaimsRequest& request, Actions& actions) -> void;
    auto receive(Time now, RouterId from, const ClaimsTransfer& transfer, Actions& actions) -> void;

    auto applyEffects(Time now, Actions& actions, std::size_t begin) -> void;
    auto deliverToSelf(Time now, Actions& actions, std::size_t begin) -> bool;
    auto flush(Time now, Actions& actions) -> void;
    auto applyDocuments(Actions& actions) -> void;
    auto applyMembers(Time now, Actions& actions) -> void;
    auto updateOwners(Time now) -> void;
    auto updateReadiness(Actions& actions) -> void;
    auto exitIfDrained(Time now, Actions& actions) -> void;
    auto dispatchStatus() const -> boost::json::object;
    auto documentStatus() const -> boost::json::array;

    CoreSettings settings_;
    RouterId self_;
    std::unique_ptr<Membership> membership_;
    std::unique_ptr<DocumentManager> documents_;
    std::unique_ptr<ClaimsManager> claims_;
    DutyTable duties_;
    RequestFlow flow_;
    absl::flat_hash_map<RouterId, Incarnation> peers_;
    Time lastFlush_ {};
    Time drainBegan_ {};
    bool draining_ = false;
    bool ready_ = false;
    bool exited_ = false;
    bool ownersStale_ = true;
};

} // namespace camphorshunt
