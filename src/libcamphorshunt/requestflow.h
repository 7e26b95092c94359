#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "camphorshunt/action.h"
#include "camphorshunt/document.h"
#include "camphorshunt/event.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

#include "claimsmanager.h"
#include "dutytable.h"
#include "entryservice.h"
#include "requestadmission.h"
#include "requesttable.h"
#include "upstreamhealth.h"

namespace camphorshunt {

/**
 * Handles each caller's request from arrival to its single final answer: admission, claim, queue,
 * attempts, retries, deadline, disconnected caller.
 */
class RequestFlow {
public:
    RequestFlow(RouterId self, Incarnation incarnation, ClaimsManager& claims, DutyTable& duties);

    auto setDocument(std::shared_ptr<const Document> document) -> void;
    auto peerConnected(Time now, RouterId router, bool newIncarnation) -> void;
    auto peerDisconnected(Time now, RouterId router) -> void;
    auto entry(ServiceId service) -> EntryService*;
    auto entries() -> std::map<ServiceId, EntryService>& { return entries_; }
    auto entries() const -> const std::map<ServiceId, EntryService>& { return entries_; }
    auto drain() -> void { draining_ = true; }
    auto isEmpty() const -> bool { return requests_.size() == 0; }
    auto activeRequests() const -> std::size_t { return requests_.size(); }

    auto handle(Time now, const RequestArrived& arrived, Actions& actions) -> void;
    auto handle(Time now, const CallerGone& gone, Actions& actions) -> void;
    auto handle(Time now, const AttemptProgress& progress) -> void;
    auto handle(Time now, const AttemptEnded& ended, Actions& actions) -> void;
    auto handle(Time now, RouterId from, const Grants& grants, Actions& actions) -> void;
    /** Applies decided claims, expires requests past their deadline and admits requests locally. */
    auto advance(Time now, Actions& actions) -> void;

private:
    auto admit(Time now, const RequestArrived& arrived, ActiveRequest& request) const
        -> std::optional<Refusal>;
    auto startClaim(Time now, const RequestArrived& arrived, ActiveRequest& request, Actions& actions)
        -> bool;
    auto applyClaimDecision(Time now, const ClaimDecision& decision, Actions& actions) -> void;
    auto enqueue(Time now, ActiveRequest& request, Actions& actions) -> void;
    auto assign(Time now, EntryService& entry, std::span<const Assignment> assignments, Actions& actions)
        -> void;
    auto send(Time now, ActiveRequest& request, Actions& actions) -> void;
    /**
     * Stops serving the caller of a sent request. A queued retry is removed; a running attempt is
     * cancelled unless the request is keyed.
     */
    auto detach(ActiveRequest& request, Actions& actions) -> void;
    auto expire(Time now, ActiveRequest& request, Actions& actions) -> void;
    auto finishAttempt(Time now, ActiveRequest& request, const AttemptEnded& ended, Actions& actions) -> void;
    auto handleNoAnswer(Time now, ActiveRequest& request, const AttemptEnded& ended, Actions& actions)
        -> void;
    auto mayRetry(Time now, const ActiveRequest& request) -> bool;
    /**
     * Answers "not run", abandons the claim and removes the request. If an earlier attempt may have run,
     * the answer is "unknown" with status 502.
     */
    auto refuse(Time now, ActiveRequest& request, const Refusal& refusal, Actions& actions) -> void;
    /** Sends the final answer of a request that was sent, unless the request is detached. */
    auto conclude(ActiveRequest& request, RequestOutcome outcome, std::uint16_t status,
        std::string_view reason, Actions& actions) -> void;
    auto removeRequest(Time now, ActiveRequest& request) -> void;
    auto recordStep(const ActiveRequest& request, RequestStep step, RequestOutcome outcome,
        Actions& actions) const -> void;

    RouterId self_;
    Incarnation incarnation_;
    ClaimsManager& claims_;
    DutyTable& duties_;
    RequestTable requests_;
    std::map<ServiceId, EntryService> entries_;
    absl::flat_hash_map<ServiceId, RetryBudget> retryBudgets_;
    absl::flat_hash_set<RouterId> peers_;
    bool draining_ = false;
};

} // namespace camphorshunt
