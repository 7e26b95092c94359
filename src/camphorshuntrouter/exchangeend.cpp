#include "exchange.h"

#include <utility>

#include "clock.h"
#include "relay.h"

// How an exchange ends: the end of an upstream's answer, answers of the router's own, and the line that the
// log keeps.

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

/** Shortest retry time sent to a caller after a refusal whose cause is likely to pass soon. */
constexpr auto shortRetry = milliseconds(150);

} // namespace

auto Exchange::answerEnded(AnswerEnd end) -> void
{
    const auto self = shared_from_this();
    answerEnd_ = end;
    if (!answer_.isComplete(end)) {
        answerFault_ = end == AnswerEnd::Broken ? connection_->fault() : answer_.incompleteness();
        abandonAttempt(PlacementEnd::Broken, answer_.hasHead() ? "the answer was cut" : "no answer");
        return;
    }
    relay_.pool().release(connection_, answer_.idleTimeout());
    if (answer_.notRun()) {
        const auto refusal = answer_.misdirected() ? PlacementEnd::Misdirected : PlacementEnd::Full;
        if (answer_.misdirected())
            --sends_;
        attemptFailed(endOfRefusal(refusal), false, placementEndName(refusal));
        return;
    }
    const auto status = answer_.status();
    if (promisesNotRun(status)) {
        // The status would promise the caller that nothing has run, which the engine has not proved.
        attemptFailed(endOfRefusal(PlacementEnd::Failed), true, "the upstream refused without proof");
        return;
    }
    if (status >= 500 && !answer_.hasBegun()) {
        mayHaveRun_ = true;
        if (retryElsewhere(PlacementEnd::Failed, "the upstream failed"))
            return;
    } else {
        endAttempt(isSuccess(status) ? PlacementEnd::Finished : PlacementEnd::Failed);
    }
    caller_->write(answer_.finish());
    if (times_.firstByte == Time {})
        times_.firstByte = steadyNow();
    finish(isSuccess(status) ? RequestOutcome::Served : RequestOutcome::Passed, status, "");
}

auto Exchange::giveUp(std::string_view reason, std::optional<milliseconds> retryAfter) -> void
{
    if (answer_.hasBegun()) {
        auto* const caller = caller_;
        finish(RequestOutcome::Cut, answer_.sentStatus(), reason);
        caller->abort();
        return;
    }
    const auto spread = milliseconds(relay_.drawRandom() % std::uint64_t(shortRetry.count()));
    if (mayHaveRun_)
        sendOwnAnswer(502, reason);
    else
        sendOwnAnswer(503, reason, retryAfter.value_or(shortRetry + spread));
}

auto Exchange::abandon(std::string_view reason) -> void
{
    if (state_ == State::Done)
        return;
    const auto self = shared_from_this();
    cancelAttempt();
    giveUp(reason);
}

auto Exchange::organisation() const -> OrganisationId
{
    return organisation_ == nullptr ? OrganisationId {} : idOf<OrganisationId>(organisation_->name);
}

auto Exchange::heldBytes() const -> std::size_t
{
    const auto body = message_.body().size();
    const auto copy = connection_ ? connection_->unsentBytes() : 0;
    const auto moved = move_ && move_->connection ? move_->connection->unsentBytes() : 0;
    return body + copy + moved + answer_.pendingBytes();
}

auto Exchange::sendOwnAnswer(unsigned status, std::string_view reason, std::optional<milliseconds> retryAfter)
    -> void
{
    const auto self = shared_from_this();
    keepAlive_ = keepAlive_ && caller_->staysOpen();
    caller_->write(
        platform::writeRouterAnswer({ status, request_.attempt, reason, retryAfter, !keepAlive_, isHead() }));
    finish(promisesNotRun(status) ? RequestOutcome::Refused : RequestOutcome::Failed, status, reason);
}

auto Exchange::finish(RequestOutcome outcome, unsigned status, std::string_view reason) -> void
{
    const auto self = shared_from_this();
    state_ = State::Done;
    logEnd(outcome, status, reason);
    relay_.metrics().requestEnded(outcomeName(outcome), steadyNow() - times_.arrived);
    auto* const caller = std::exchange(caller_, nullptr);
    if (outcome != RequestOutcome::Cut && outcome != RequestOutcome::Gone)
        caller->finishAnswer(keepAlive_);
}

auto Exchange::logEnd(RequestOutcome outcome, unsigned status, std::string_view reason) -> void
{
    times_.ended = steadyNow();
    const auto ended = EndedRequest { .attempt = request_.attempt,
        .outcome = outcome,
        .status = status,
        .route = route_ == nullptr ? "-" : std::string_view(route_->name),
        .organisation = organisation_ == nullptr ? "-" : std::string_view(organisation_->name),
        .upstream = upstream_ ? std::string_view(upstream_->name) : "-",
        .sends = sends_,
        .configuration = table_ == nullptr ? 0 : table_->version(),
        .directoryAge = directoryAge_,
        .longestSilence = directoryAge_ ? std::optional(longestSilence_) : std::nullopt,
        .answerEnd = answerEnd_,
        .stream = answer_.streamFigures(),
        .reason = reason };
    relay_.recordEnd(ended.organisation, outcome);
    const auto isGood = outcome == RequestOutcome::Served || outcome == RequestOutcome::Passed;
    relay_.log(
        isGood ? LogLevel::Info : LogLevel::Warning, "request-end", ended.fields(times_, placementInputs_));
}

} // namespace camphorshunt::router
