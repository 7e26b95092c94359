#include "requestflow.h"

#include <algorithm>
#include <utility>

namespace camphorshunt {

namespace {

auto mayHaveRun(AttemptResult result) -> bool
{
    return result != AttemptResult::NotSent && result != AttemptResult::Refused;
}

} // namespace

RequestFlow::RequestFlow(RouterId self, Incarnation incarnation, ClaimsManager& claims, DutyTable& duties)
    : self_(self)
    , incarnation_(incarnation)
    , claims_(claims)
    , duties_(duties)
{
}

auto RequestFlow::setDocument(std::shared_ptr<const Document> document) -> void
{
    const auto id = document->id;
    retryBudgets_[id].setFraction(document->limits.retryFraction);
    const auto [entry, isNew] = entries_.try_emplace(id, self_, id, incarnation_);
    entry->second.setDocument(std::move(document));
    if (!isNew)
        return;
    for (const auto router : peers_)
        entry->second.peerConnected({}, router, false);
}

auto RequestFlow::peerConnected(Time now, RouterId router, bool newIncarnation) -> void
{
    peers_.insert(router);
    for (auto& [id, entry] : entries_)
        entry.peerConnected(now, router, newIncarnation);
}

auto RequestFlow::peerDisconnected(Time now, RouterId router) -> void
{
    peers_.erase(router);
    for (auto& [id, entry] : entries_)
        entry.peerDisconnected(now, router);
}

auto RequestFlow::entry(ServiceId service) -> EntryService*
{
    const auto found = entries_.find(service);
    return found == entries_.end() ? nullptr : &found->second;
}

auto RequestFlow::recordStep(
    const ActiveRequest& request, RequestStep step, RequestOutcome outcome, Actions& actions) const -> void
{
    actions.emplace_back(
        NoteStep { request.id, step, request.organisation, request.document->id, request.upstream, outcome });
}

auto RequestFlow::admit(Time now, const RequestArrived& arrived, ActiveRequest& request) const
    -> std::optional<Refusal>
{
    if (draining_)
        return Refusal { 503, "draining", shortRetryDelay };
    const auto found = entries_.find(idOf<ServiceId>(arrived.service));
    if (found == entries_.end())
        return entries_.empty() ? Refusal { 503, "no-document", shortRetryDelay }
                                : Refusal { 404, "unknown-service", {} };
    if (const auto refusal = admitRequest(now, arrived, found->second.document(), request))
        return refusal;
    return checkWait(now, found->second, request);
}

auto RequestFlow::startClaim(
    Time now, const RequestArrived& arrived, ActiveRequest& request, Actions& actions) -> bool
{
    const auto key
        = ClaimsManager::parseKey(arrived.idempotencyKey, request.document->id, request.organisation);
    if (!key) {
        refuse(now, request, { 400, "idempotency-key-required", {} }, actions);
        return false;
    }
    const auto refusal = claims_.beginClaim(now, request.id, *key, request.document->limits.keyWindow);
    if (refusal) {
        applyClaimDecision(now, { request.id, false, *refusal }, actions);
        return false;
    }
    recordStep(request, RequestStep::ClaimAppended, {}, actions);
    return true;
}

auto RequestFlow::handle(Time now, const RequestArrived& arrived, Actions& actions) -> void
{
    auto request = ActiveRequest {};
    request.id = arrived.request;
    if (const auto refusal = admit(now, arrived, request)) {
        actions.emplace_back(AnswerCaller { arrived.request, refusal->status, RequestOutcome::NotRun,
            std::string(refusal->reason), refusal->retryAfter });
        return;
    }

    auto& active = requests_.add(std::move(request));
    retryBudgets_[active.document->id].recordRequest(now);
    if (!active.keyed)
        enqueue(now, active, actions);
    else
        startClaim(now, arrived, active, actions);
}

auto RequestFlow::applyClaimDecision(Time now, const ClaimDecision& decision, Actions& actions) -> void
{
    auto* const request = requests_.find(decision.request);
    if (!request || request->life.state() != RequestState::Claiming)
        return;

    if (decision.won) {
        request->life.winClaim();
        recordStep(*request, RequestStep::ClaimWon, {}, actions);
        enqueue(now, *request, actions);
        return;
    }

    // A lost claim stays lost, so this request is not run, whatever the state of its key.
    auto answer = claimAnswer(request->id, decision.refusal);
    const auto outcome = answer.outcome;
    request->life.endNotRun();
    actions.emplace_back(std::move(answer));
    recordStep(*request, RequestStep::Ended, outcome, actions);
    requests_.erase(request->id);
}

auto RequestFlow::enqueue(Time now, ActiveRequest& request, Actions& actions) -> void
{
    auto* const service = entry(request.document->id);
    const auto pushed = service->queue().push({ request.id, request.organisation,
        request.operation.requestClass, request.estimatedUnits, request.deadline });
    if (pushed.refused) {
        refuse(now, request, { 429, "queue-full", longRetryDelay }, actions);
        return;
    }
    recordStep(request, RequestStep::Queued, {}, actions);
    if (!pushed.dropped)
        return;
    if (auto* const dropped = requests_.find(*pushed.dropped))
        refuse(now, *dropped, { 429, "queue-full", longRetryDelay }, actions);
}

auto RequestFlow::handle(Time now, RouterId from, const Grants& grants, Actions& actions) -> void
{
    auto* const service = entry(grants.shard.service);
    if (!service)
        return;
    auto assignments = std::vector<Assignment> {};
    service->applyGrants(now, from, grants, assignments);
    assign(now, *service, assignments, actions);
}

auto RequestFlow::assign(
    Time now, EntryService& service, std::span<const Assignment> assignments, Actions& actions) -> void
{
    for (const auto& assignment : assignments) {
        auto* const request = requests_.find(assignment.request);
        const auto usable = request && duties_.accepts(request->document->id, assignment.upstream);
        if (!usable) {
            service.release(assignment.grant, 0.0, true, AttemptResult::Cancelled);
            if (request)
                enqueue(now, *request, actions);
            continue;
        }
        request->grant = assignment.grant;
        request->upstream = assignment.upstream;
        recordStep(*request, RequestStep::Granted, {}, actions);
        send(now, *request, actions);
    }
}

auto RequestFlow::send(Time now, ActiveRequest& request, Actions& actions) -> void
{
    if (!request.life.send()) {
        entry(request.document->id)->release(request.grant, 0.0, true, AttemptResult::Cancelled);
        return;
    }
    const auto& document = *request.document;
    // A stream resumes at the upstream that still runs it. The slot accounts for that work, even if it
    // was granted at another upstream.
    const auto target = request.eventsPassed > 0 ? request.streamedFrom : request.upstream;
    const auto* upstream = document.upstream(target);
    if (!upstream)
        upstream = entry(document.id)->document()->upstream(target);
    if (!upstream) {
        request.life.retry();
        entry(document.id)->release(request.grant, 0.0, true, AttemptResult::Cancelled);
        conclude(request, RequestOutcome::Unknown, 502, "upstream-gone", actions);
        request.life.endSent();
        requests_.erase(request.id);
        return;
    }

    ++request.attempts;
    const auto& limits = document.limits;
    const auto fresh = request.keyed || request.attempts > 1;
    actions.emplace_back(SendAttempt { request.id, request.attempts, target, upstream->endpoint,
        document.upstreamKind, request.operation.name, fresh, request.eventsPassed, 0, limits.connectTimeout,
        limits.firstByteTimeout, limits.gapTimeout });
    recordStep(request, RequestStep::Sent, {}, actions);
}

auto RequestFlow::handle(Time now, const AttemptProgress& progress) -> void
{
    auto* const request = requests_.find(progress.request);
    if (!request || request->attempts != progress.attempt)
        return;
    entry(request->document->id)
        ->charge(request->grant, serviceUnits(request->document->dispatch, 0, progress.outputTokens));
}

auto RequestFlow::handle(Time now, const AttemptEnded& ended, Actions& actions) -> void
{
    auto* const request = requests_.find(ended.request);
    if (!request || request->attempts != ended.attempt || request->life.state() != RequestState::Sent)
        return;

    if (ended.leaving)
        duties_.handleUpstreamLeaving(now, request->document->id, request->upstream);
    const auto units = serviceUnits(request->document->dispatch, ended.promptTokens, ended.outputTokens);
    entry(request->document->id)
        ->release(request->grant, units, ended.result == AttemptResult::NotSent, ended.result);
    request->eventsPassed = ended.eventsPassed;
    request->headPassed = request->headPassed || ended.headPassed;
    // Later attempts of a stream are sent to the upstream of the first one, whichever upstream their
    // slots are for.
    if (ended.eventsPassed > 0 && request->streamedFrom == UpstreamId {})
        request->streamedFrom = request->upstream;
    finishAttempt(now, *request, ended, actions);
}

auto RequestFlow::finishAttempt(Time now, ActiveRequest& request, const AttemptEnded& ended, Actions& actions)
    -> void
{
    if (ended.result == AttemptResult::Complete || ended.result == AttemptResult::Failed) {
        const auto outcome
            = ended.result == AttemptResult::Complete ? RequestOutcome::Done : RequestOutcome::Failed;
        request.headPassed = true;
        conclude(request, outcome, 200, {}, actions);
        request.life.endSent();
        if (request.keyed)
            claims_.settle(now, request.id);
        requests_.erase(request.id);
        return;
    }
    if (request.detached) {
        request.life.endSent();
        // No byte left this VM, so the caller's next attempt with this key may run.
        if (request.keyed && ended.result == AttemptResult::NotSent)
            claims_.abandon(now, request.id);
        requests_.erase(request.id);
        return;
    }
    handleNoAnswer(now, request, ended, actions);
}

auto RequestFlow::handleNoAnswer(
    Time now, ActiveRequest& request, const AttemptEnded& ended, Actions& actions) -> void
{
    const auto maybeRan = mayHaveRun(ended.result);
    // A keyed request that an upstream refused did reach the upstream, so its key stays used, see
    // promises.md.
    if (request.keyed && ended.result == AttemptResult::Refused) {
        conclude(request, RequestOutcome::Failed, 503, "upstream-refused", actions);
        request.life.endSent();
        claims_.settle(now, request.id);
        requests_.erase(request.id);
        return;
    }

    const auto shouldRetry = (!request.keyed || !maybeRan) && mayRetry(now, request);
    if (maybeRan)
        request.life.retry();
    else
        request.life.revertSend();

    if (shouldRetry) {
        recordStep(request, RequestStep::Retried, {}, actions);
        enqueue(now, request, actions);
        return;
    }
    if (request.life.endNotRun()) {
        actions.emplace_back(AnswerCaller {
            request.id, 503, RequestOutcome::NotRun, "upstream-unreachable", shortRetryDelay });
        recordStep(request, RequestStep::Ended, RequestOutcome::NotRun, actions);
        removeRequest(now, request);
        return;
    }
    conclude(request, RequestOutcome::Unknown, 502, "upstream-lost", actions);
    request.life.endSent();
    requests_.erase(request.id);
}

auto RequestFlow::mayRetry(Time now, const ActiveRequest& request) -> bool
{
    if (draining_ || now >= request.deadline)
        return false;
    return retryBudgets_[request.document->id].tryAcquire(now);
}

auto RequestFlow::handle(Time now, const CallerGone& gone, Actions& actions) -> void
{
    auto* const request = requests_.find(gone.request);
    if (!request || request->detached)
        return;

    if (request->life.endNotRun()) {
        recordStep(*request, RequestStep::Ended, RequestOutcome::NotRun, actions);
        removeRequest(now, *request);
        return;
    }
    detach(*request, actions);
}

auto RequestFlow::detach(ActiveRequest& request, Actions& actions) -> void
{
    request.detached = true;
    if (request.life.state() == RequestState::Queued) {
        entry(request.document->id)->queue().remove(request.id);
        request.life.endSent();
        requests_.erase(request.id);
        return;
    }
    if (!request.keyed)
        actions.emplace_back(CancelAttempt { request.id, request.attempts });
}

auto RequestFlow::expire(Time now, ActiveRequest& request, Actions& actions) -> void
{
    if (request.detached)
        return;
    if (request.life.endNotRun()) {
        actions.emplace_back(
            AnswerCaller { request.id, 504, RequestOutcome::NotRun, "deadline", shortRetryDelay });
        recordStep(request, RequestStep::Ended, RequestOutcome::NotRun, actions);
        removeRequest(now, request);
        return;
    }

    conclude(request, RequestOutcome::Unknown, 504, "deadline", actions);
    detach(request, actions);
}

auto RequestFlow::advance(Time now, Actions& actions) -> void
{
    for (const auto& decision : claims_.takeDecisions())
        applyClaimDecision(now, decision, actions);

    for (const auto id : requests_.takeExpired(now)) {
        if (auto* const request = requests_.find(id))
            expire(now, *request, actions);
    }

    for (auto& [id, service] : entries_) {
        auto assignments = std::vector<Assignment> {};
        service.admitLocally(now, assignments);
        assign(now, service, assignments, actions);
    }
}

auto RequestFlow::refuse(Time now, ActiveRequest& request, const Refusal& refusal, Actions& actions) -> void
{
    if (!request.life.endNotRun()) {
        conclude(request, RequestOutcome::Unknown, 502, refusal.reason, actions);
        request.life.endSent();
        requests_.erase(request.id);
        return;
    }
    actions.emplace_back(AnswerCaller { request.id, refusal.status, RequestOutcome::NotRun,
        std::string(refusal.reason), refusal.retryAfter });
    recordStep(request, RequestStep::Ended, RequestOutcome::NotRun, actions);
    removeRequest(now, request);
}

auto RequestFlow::conclude(ActiveRequest& request, RequestOutcome outcome, std::uint16_t status,
    std::string_view reason, Actions& actions) -> void
{
    if (request.detached)
        return;
    if (request.headPassed)
        actions.emplace_back(FinishCaller { request.id, outcome, std::string(reason) });
    else
        actions.emplace_back(AnswerCaller { request.id, status, outcome, std::string(reason), {} });
    recordStep(request, RequestStep::Ended, outcome, actions);
}

auto RequestFlow::removeRequest(Time now, ActiveRequest& request) -> void
{
    entry(request.document->id)->queue().remove(request.id);
    if (request.keyed)
        claims_.abandon(now, request.id);
    requests_.erase(request.id);
}

} // namespace camphorshunt
