#include "requestadmission.h"

#include <algorithm>

namespace camphorshunt {

namespace {

/** Approximate body bytes per prompt token, used when the caller gives no hint. */
constexpr auto bytesPerToken = 4.0;

/** Output tokens assumed when the caller gives no hint. */
constexpr auto defaultOutputTokens = 64.0;

/** A request is refused only if its estimated wait reaches the remaining time multiplied by this factor. */
constexpr auto waitMargin = 1.5;

constexpr auto conflictStatus = std::uint16_t { 409 };
constexpr auto unavailableStatus = std::uint16_t { 503 };

auto estimateUnits(const Dispatch& dispatch, const RequestArrived& arrived) -> double
{
    const auto prompt = arrived.promptTokens != 0 ? arrived.promptTokens : arrived.bodyBytes / bytesPerToken;
    const auto output = arrived.outputTokens != 0 ? arrived.outputTokens : defaultOutputTokens;
    return serviceUnits(dispatch, prompt, output);
}

} // namespace

auto serviceUnits(const Dispatch& dispatch, double promptTokens, double outputTokens) -> double
{
    return dispatch.promptWeight * promptTokens + dispatch.outputWeight * outputTokens;
}

auto admitRequest(Time now, const RequestArrived& arrived, const std::shared_ptr<const Document>& document,
    ActiveRequest& request) -> std::optional<Refusal>
{
    const auto* const organisation = document->organisationByKeyDigest(arrived.keyDigest);
    if (!organisation)
        return Refusal { 401, "unauthorised", {} };
    const auto* const operation = document->operation(arrived.operation);
    if (!operation)
        return Refusal { 404, "unknown-operation", {} };

    const auto& limits = document->limits;
    const auto requested = arrived.deadline > Duration::zero() ? arrived.deadline : limits.defaultDeadline;
    request.document = document;
    request.organisation = organisation->id;
    request.operation = *operation;
    request.arrived = now;
    request.deadline = now + std::min(requested, limits.maxDeadline);
    request.estimatedUnits = estimateUnits(document->dispatch, arrived);
    request.keyed = !operation->repeatable;
    request.life = RequestLife(request.keyed);
    return std::nullopt;
}

auto checkWait(Time now, const EntryService& entry, const ActiveRequest& request) -> std::optional<Refusal>
{
    const auto wait = entry.expectedWait(request.organisation, request.operation.requestClass);
    const auto remaining = request.deadline - now;
    if (!wait || std::chrono::duration<double>(*wait) < waitMargin * std::chrono::duration<double>(remaining))
        return std::nullopt;
    return Refusal { unavailableStatus, "deadline-unreachable",
        std::max(shortRetryDelay, *wait - remaining) };
}

auto claimAnswer(RequestId request, ClaimRefusal refusal) -> AnswerCaller
{
    switch (refusal) {
    case ClaimRefusal::Unavailable:
        return { request, unavailableStatus, RequestOutcome::NotRun, "claims-unavailable", shortRetryDelay };
    case ClaimRefusal::KeyFromFuture:
        return { request, unavailableStatus, RequestOutcome::NotRun, "key-from-future", shortRetryDelay };
    case ClaimRefusal::KeyTooOld:
        return { request, conflictStatus, RequestOutcome::Unknown, "key-too-old", {} };
    case ClaimRefusal::Running:
        return { request, conflictStatus, RequestOutcome::Unknown, "key-running", {} };
    case ClaimRefusal::Done:
        return { request, conflictStatus, RequestOutcome::Done, "key-done", {} };
    }
    return { request, conflictStatus, RequestOutcome::Unknown, "key-unknown", {} };
}

} // namespace camphorshunt
