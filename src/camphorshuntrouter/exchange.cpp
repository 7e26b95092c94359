#include "exchange.h"

#include <algorithm>
#include <utility>

#include "attemptclock.h"
#include "calleradmission.h"
#include "clock.h"
#include "relay.h"

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

} // namespace

Exchange::Exchange(Relay& relay, CallerConnection& caller, CallerConnection::Request request, bool keepAlive)
    : relay_(relay)
    , caller_(&caller)
    , message_(std::move(request))
    , request_(platform::readCallerRequest(message_.base()))
    , keepAlive_(keepAlive)
    , number_(relay.addExchange(*this))
    , table_(relay.table())
    , times_ { steadyNow(), {}, {}, {}, {} }
{
}

Exchange::~Exchange()
{
    withdrawMove();
    if (connection_)
        connection_->close();
    relay_.removeExchange(number_);
}

auto Exchange::start() -> void
{
    if (!admit())
        return;
    const auto timeout = request_.timeout.value_or(route_->timeout);
    deadline_ = times_.arrived + std::min<milliseconds>(timeout, route_->timeout);
    service_ = RouteTable::chooseTarget(*route_, hashName(request_.attempt));
    const auto* const service = table_->service(service_);
    onEngine_ = service != nullptr && service->engine.has_value();
    relay_.retryBudget(service_).recordRequest(times_.arrived);
    relay_.scheduleCheck(shared_from_this(), deadline_);
    assignUpstream();
}

auto Exchange::admit() -> bool
{
    const auto admission = CallerAdmission::decide(table_.get(), request_, relay_.shutdown());
    route_ = admission.route;
    organisation_ = admission.organisation;
    if (!admission.refusal)
        return true;
    sendOwnAnswer(admission.refusal->status, admission.refusal->reason, admission.refusal->retryAfter);
    return false;
}

auto Exchange::assignUpstream() -> void
{
    state_ = State::Placing;
    times_.placementStarted = steadyNow();
    if (onEngine_)
        requestEngine(number_, enginesToAvoid());
    else
        chooseUpstream();
}

auto Exchange::requestEngine(std::uint64_t number, std::vector<UpstreamId> avoid) -> void
{
    auto place = makePlacementRequest(routed());
    place.request.key.number = number;
    place.request.failureDomain = relay_.failureDomain();
    place.request.avoid = std::move(avoid);
    place.deadlineLeft = timeLeft();
    place.goalLeft = place.deadlineLeft;
    // The latency goal is for a stream's first event; a stream that is resumed has passed it.
    if (route_->goal.count() != 0 && !answer_.hasBegun())
        place.goalLeft = std::min<Duration>(times_.arrived + route_->goal - steadyNow(), place.goalLeft);
    relay_.requestPlacement(std::move(place));
}

auto Exchange::onPlaced(std::uint64_t number, const UpstreamEntry& upstream, const UpstreamEntry* copyFrom)
    -> void
{
    if (move_ && number == move_->number) {
        onMovePlaced(upstream, copyFrom);
        return;
    }
    if (state_ != State::Placing)
        return;
    if (upstream.draining) {
        // The upstream has started to drain since it was chosen.
        relay_.reportEnd(number_, service_, PlacementEnd::Cancelled);
        placeAgain(number_, upstream.process());
        return;
    }
    send(upstream, copyFrom);
}

auto Exchange::onRefused(std::uint64_t number, RefusalReason reason, milliseconds retryAfter) -> void
{
    if (move_ && number == move_->number) {
        withdrawMove();
        postponeMove(refusalName(reason), retryAfter);
        return;
    }
    if (state_ != State::Placing)
        return;
    relay_.metrics().refused(reason);
    giveUp(refusalName(reason), retryAfter);
}

auto Exchange::beginAttempt(const UpstreamEntry& upstream, Time sent) -> void
{
    upstream_ = upstream;
    state_ = State::Sent;
    times_.sent = sent;
    directoryAge_ = sent - relay_.directoryReadAt();
    lastByteAt_ = sent;
    startReported_ = false;
    answerEnd_.reset();
    answerFault_.clear();
    answer_.beginAttempt();
}

auto Exchange::send(const UpstreamEntry& upstream, const UpstreamEntry* copyFrom) -> void
{
    const auto left = timeLeft();
    if (left < minTimeLeft) {
        if (onEngine_)
            relay_.reportEnd(number_, service_, PlacementEnd::Cancelled);
        giveUp("no time is left");
        return;
    }
    const auto now = steadyNow();
    if (!relay_.availability().maySend(now, upstream)) {
        withhold(upstream);
        return;
    }
    if (copyFrom != nullptr && !relay_.availability().sendableFrom(now, copyFrom->process()))
        copyFrom = nullptr;
    beginAttempt(upstream, now);
    ++sends_;
    if (!onEngine_)
        relay_.balancer(service_).requestStarted(upstream.id());

    auto bytes
        = serializeForUpstream(routed(), upstream, copyFrom, inMilliseconds(left), answer_.lastEventId());
    const auto fresh = !route_->repeatable() && !onEngine_;
    connection_ = relay_.pool().send(upstream, std::move(bytes), isHead(), fresh, *this);
    caller_->account();
    relay_.scheduleCheck(shared_from_this(), times_.sent + AttemptClock::connectLimit());
}

auto Exchange::connectionFailed() -> void
{
    const auto self = shared_from_this();
    --sends_;
    attemptFailed(PlacementEnd::Unreachable, false, "no connection");
}

auto Exchange::headArrived(const platform::ResponseHeader& header) -> bool
{
    using Head = AnswerIntake::Head;
    const auto self = shared_from_this();
    recordProgress();
    relay_.recordReach(lastByteAt_, true);
    if (!answer_.hasBegun())
        keepAlive_ = keepAlive_ && caller_->staysOpen();
    const auto head = answer_.consumeHead(header,
        { request_.attempt, *route_, isHead(), !keepAlive_, upstream_->name, connection_->isFirstAnswer() });
    relay_.recordAvailability(*upstream_, answer_.received());
    if (answer_.otherSender())
        relay_.recordOtherSender(*upstream_, *answer_.otherSender());
    switch (head) {
    case Head::Mismatched:
        relay_.log(LogLevel::Warning, "answer-of-another-request",
            { { "id", std::string(request_.attempt) }, { "upstream", upstream_->name } });
        return false;
    case Head::NotGenuine:
        abandonAttempt(PlacementEnd::Broken, "the answer is not the upstream's");
        return true;
    case Head::NotResumed:
        abandonAttempt(PlacementEnd::Failed, "the stream was not resumed");
        return true;
    case Head::NotRun:
    case Head::Accepted:
        break;
    }
    if (answer_.isFinalStream()) {
        // From here on the request can't be sent again, so its body is not needed any more.
        message_.body() = {};
    }
    return true;
}

auto Exchange::bodyArrived(std::string_view bytes) -> void
{
    if (!answer_.hasHead() || answer_.notRun())
        return;
    const auto self = shared_from_this();
    if (!std::exchange(startReported_, true) && onEngine_ && answer_.isSuccessful())
        relay_.reportStart(number_, service_);
    auto text = answer_.consumeBody(bytes);
    if (answer_.isEndless()) {
        abandonAttempt(PlacementEnd::Broken, "an event exceeds the size limit");
        return;
    }
    if (answer_.hasAdvanced())
        recordProgress();
    if (text.empty())
        caller_->account();
    else
        passOn(std::move(text));
    if (answer_.isForeign())
        abandonAttempt(PlacementEnd::Broken, "the stream was not resumed");
}

auto Exchange::endAttempt(PlacementEnd end) -> void
{
    withdrawMove();
    recordSilence(steadyNow());
    pausedAt_.reset();
    connection_.reset();
    relay_.metrics().attemptEnded(end);
    if (onEngine_)
        relay_.reportEnd(number_, service_, end);
    else
        relay_.balancer(service_).requestEnded(steadyNow(), upstream_->id(), end);
}

auto Exchange::maySendAgain(std::size_t tried) const -> bool
{
    return sends_ < route_->attempts && tried < maxUpstreamsTried && brokenOff_ < maxBrokenOff
        && timeLeft() >= minTimeLeft && answer_.isReplaceable();
}

auto Exchange::mayRetry() -> bool
{
    if ((mayHaveRun_ && !route_->repeatable()) || !maySendAgain(tried_.size()))
        return false;
    return sends_ == 0 || relay_.retryBudget(service_).tryAcquire(steadyNow());
}

auto Exchange::mayMove() const -> bool { return route_->repeatable() && maySendAgain(tried_.size() + 1); }

auto Exchange::endFailedAttempt(PlacementEnd end, std::string_view reason, bool again) -> void
{
    auto failed = FailedAttempt { request_.attempt, upstream_->name, end, reason, mayHaveRun_, sends_, again,
        startReported_, answerFault_ };
    if (request_.prompt)
        failed.parts = request_.prompt->parts;
    relay_.log(LogLevel::Warning, "attempt-failed", failed.fields());
    endAttempt(end);
    if (again)
        answer_.discardUnsent();
}

auto Exchange::retryElsewhere(PlacementEnd end, std::string_view reason) -> bool
{
    tried_.push_back(upstream_->id());
    brokenOff_ += end == PlacementEnd::Broken ? 1 : 0;
    if (move_ && move_->isSent()) {
        takeOver(end, reason);
        return true;
    }
    const auto retried = mayRetry();
    endFailedAttempt(end, reason, retried);
    if (retried)
        assignUpstream();
    return retried;
}

auto Exchange::attemptFailed(PlacementEnd end, bool mayHaveRun, std::string_view reason) -> void
{
    mayHaveRun_ = mayHaveRun_ || mayHaveRun;
    if (!retryElsewhere(end, reason))
        giveUp(reason, retryAfterRest());
}

auto Exchange::abandonAttempt(PlacementEnd end, std::string_view reason) -> void
{
    connection_->close();
    attemptFailed(end, true, reason);
}

auto Exchange::cancelAttempt() -> void
{
    if (state_ == State::Placing && onEngine_) {
        relay_.withdraw(number_, service_);
    } else if (connection_) {
        mayHaveRun_ = true;
        connection_->close();
        endAttempt(PlacementEnd::Cancelled);
    }
}

auto Exchange::onCallerDisconnected() -> void
{
    if (state_ == State::Done)
        return;
    const auto self = shared_from_this();
    cancelAttempt();
    finish(RequestOutcome::Gone, 0, "the caller left");
}

auto Exchange::check(Time now) -> std::optional<Time>
{
    const auto self = shared_from_this();
    if (state_ == State::Placing && waitUntil_ && now >= *waitUntil_ && now < deadline_) {
        waitUntil_.reset();
        assignUpstream();
        return state_ == State::Done ? std::nullopt : std::optional(deadline_);
    }
    if (state_ == State::Placing && now < deadline_)
        return deadline_;
    if (state_ == State::Placing) {
        if (onEngine_)
            relay_.withdraw(number_, service_);
        giveUp("no place came in time");
    }
    if (state_ == State::Done)
        return std::nullopt;
    if (pausedAt_)
        return now + pauseCheckInterval;
    const auto times = AttemptTimes { .deadline = deadline_ + pausedTime_,
        .sent = times_.sent,
        .lastByte = lastByteAt_,
        .goal = route_->goal,
        .connected = connection_->isConnected(),
        .answering = state_ == State::Answering,
        .mayRetryElsewhere = move_ || mayMove() };
    const auto check = AttemptClock::check(now, times);
    if (check.due == AttemptClock::Due::Nothing)
        return check.next;
    if (check.due == AttemptClock::Due::Silence) {
        const auto next = onSilence(now);
        return state_ == State::Done ? std::nullopt : std::optional(std::min(deadline_, next));
    }
    connection_->close();
    if (check.due == AttemptClock::Due::Deadline) {
        onDeadline();
    } else {
        relay_.recordReach(now, false);
        connectionFailed();
    }
    return state_ == State::Done ? std::nullopt : std::optional(deadline_);
}

auto Exchange::onDeadline() -> void
{
    mayHaveRun_ = true;
    endAttempt(lastByteAt_ == times_.sent ? PlacementEnd::Silent : PlacementEnd::Cancelled);
    if (answer_.hasBegun())
        giveUp("the deadline passed");
    else
        sendOwnAnswer(504, "the deadline passed");
}

} // namespace camphorshunt::router
