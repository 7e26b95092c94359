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
 * Takes each caller's request from arrival to its one final answer: admission, claim, queue,
 * attempts, retries, deadline, caller gone.
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
    /** Applies decided claims, deadlines and local admission. */
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
    /** The caller is done with a sent request; what still runs of it is cancelled if it may be. */
    auto detach(ActiveRequest& request, Actions& actions) -> void;
    auto expire(Time now, ActiveRequest& request, Actions& actions) -> void;
    auto finishAttempt(Time now, ActiveRequest& request, const AttemptEnded& ended, Actions& actions) -> void;
    auto handleNoAnswer(Time now, ActiveRequest& request, const AttemptEnded& ended, Actions& actions)
        -> void;
    auto mayRetry(Time now, const ActiveRequest& request) -> bool;
    /** Answers "not run", gives up the claim and forgets the request. Only before it was sent. */
    auto refuse(Time now, ActiveRequest& request, const Refusal& refusal, Actions& actions) -> void;
    /** Gives the caller the last word on a request that was sent. */
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
