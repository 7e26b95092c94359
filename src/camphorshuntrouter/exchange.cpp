#include "exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "attemptclock.h"
#include "calleradmission.h"
#include "clock.h"
#include "relay.h"

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

/** A try that has less time left is not worth sending. */
constexpr auto leastTime = Duration(milliseconds(5));
/** Upstreams that may be tried without a connection being made. */
constexpr auto mostTried = std::size_t { 4 };
/** When a caller may come again after a refusal that is over soon. */
constexpr auto shortRetry = milliseconds(150);
/** When a caller of a router that shuts down may come again; another router takes it at once. */
constexpr auto drainRetry = milliseconds(50);

auto isSuccess(unsigned status) -> bool { return status >= 200 && status < 300; }

/** Statuses by which a fleet promises that a request has not run. */
auto promisesNotRun(unsigned status) -> bool
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

Exchange::Exchange(Relay& relay, CallerConnection& caller, CallerConnection::Request request, bool keepAlive)
    : relay_(relay)
    , caller_(&caller)
    , message_(std::move(request))
    , request_(platform::readCallerRequest(message_.base()))
    , keepAlive_(keepAlive)
    , number_(relay.enter(*this))
    , table_(relay.table())
    , times_ { steadyNow(), {}, {}, {}, {} }
{
}

Exchange::~Exchange() { relay_.leave(number_); }

auto Exchange::create(Relay& relay, CallerConnection& caller, CallerConnection::Request request,
    bool keepAlive) -> std::shared_ptr<Exchange>
{
    return std::shared_ptr<Exchange>(new Exchange(relay, caller, std::move(request), keepAlive));
}

auto Exchange::timeLeft() const -> Duration { return deadline_ - steadyNow(); }

auto Exchange::begin() -> void
{
    if (!admit() || !mayFinish())
        return;
    const auto patience = request_.patience.value_or(route_->timeout);
    deadline_ = times_.arrived + std::min<milliseconds>(patience, route_->timeout);
    service_ = RouteTable::chooseTarget(*route_, hashName(request_.attempt));
    const auto* const service = table_->service(service_);
    onEngine_ = service != nullptr && service->engine.has_value();
    relay_.budget(service_).noteRequest(times_.arrived);
    relay_.watch(shared_from_this(), deadline_);
    findPlace();
}

auto Exchange::admit() -> bool
{
    const auto admission = CallerAdmission::decide(table_.get(), request_);
    route_ = admission.route;
    organisation_ = admission.organisation;
    if (!admission.refusal)
        return true;
    answerOwn(admission.refusal->status, admission.refusal->reason, admission.refusal->retryAfter);
    return false;
}

auto Exchange::mayFinish() -> bool
{
    if (route_->kind != RequestKind::Stream || relay_.takesStreams())
        return true;
    answerOwn(503, "the router shuts down before the stream would end", drainRetry);
    return false;
}

auto Exchange::findPlace() -> void
{
    state_ = State::Placing;
    times_.asked = steadyNow();
    if (onEngine_)
        askForEngine();
    else
        chooseUpstream();
}

auto Exchange::routed() const -> RoutedRequest
{
    return { message_, request_, *route_, organisation_, service_ };
}

auto Exchange::askForEngine() -> void
{
    auto place = placeFormOf(routed());
    place.request.key.number = number_;
    place.request.failureDomain = relay_.failureDomain();
    place.request.avoid = tried_;
    const auto left = timeLeft();
    place.deadlineLeft = left;
    // A stream that goes on elsewhere is urgent, however late its first event was.
    place.goalLeft = route_->goal.count() == 0 || (relayed_ && relayed_->hasBegun())
        ? left
        : std::min<Duration>(times_.arrived + Duration(route_->goal) - steadyNow(), left);
    relay_.askPlace(std::move(place));
}

auto Exchange::chooseUpstream() -> void
{
    const auto* const upstream
        = relay_.balancer(service_).choose(steadyNow(), relay_.failureDomain(), tried_);
    if (upstream == nullptr)
        giveUp("no upstream is left to try");
    else
        send(*upstream, nullptr);
}

auto Exchange::placed(const UpstreamEntry& upstream, const UpstreamEntry* copyFrom) -> void
{
    if (state_ != State::Placing)
        return;
    if (upstream.draining) {
        // It has begun to leave since it was chosen.
        relay_.reportEnd(number_, service_, PlacementEnd::Cancelled);
        findPlace();
        return;
    }
    send(upstream, copyFrom);
}

auto Exchange::refused(RefusalReason reason, milliseconds retryAfter) -> void
{
    if (state_ != State::Placing)
        return;
    relay_.metrics().refused(reason);
    giveUp(refusalName(reason), retryAfter);
}

auto Exchange::send(const UpstreamEntry& upstream, const UpstreamEntry* copyFrom) -> void
{
    const auto left = timeLeft();
    if (left < leastTime) {
        if (onEngine_)
            relay_.reportEnd(number_, service_, PlacementEnd::Cancelled);
        giveUp("no time is left");
        return;
    }
    upstream_ = upstream;
    state_ = State::Sent;
    times_.sent = steadyNow();
    lastByteAt_ = times_.sent;
    startedTold_ = false;
    answer_.reset();
    idleTimeout_.reset();
    ++sends_;
    if (!onEngine_)
        relay_.balancer(service_).begun(upstream.id());

    const auto resumeAfter = relayed_ ? std::string_view(relayed_->lastEvent()) : std::string_view {};
    auto bytes = upstreamBytesOf(routed(), upstream, copyFrom, inMilliseconds(left), resumeAfter);
    const auto isHead = message_.method() == boost::beast::http::verb::head;
    const auto fresh = !route_->repeatable() && !onEngine_;
    connection_ = relay_.pool().send(upstream, std::move(bytes), isHead, fresh, *this);
    relay_.watch(shared_from_this(), times_.sent + AttemptClock::connectLimit());
}

auto Exchange::connectionFailed() -> void
{
    const auto self = shared_from_this();
    --sends_;
    attemptFailed(PlacementEnd::Unreachable, false, "no connection");
}

auto Exchange::headArrived(const platform::ResponseHeader& header) -> bool
{
    const auto answer = platform::readEngineAnswer(header);
    lastByteAt_ = steadyNow();
    if (answer.attempt != request_.attempt && !answer.notRun) {
        relay_.log(LogLevel::Warning, "answer-of-another-request",
            { { "id", std::string(request_.attempt) }, { "answered", std::string(answer.attempt) },
                { "upstream", upstream_->name } });
        return false;
    }
    const auto self = shared_from_this();
    answer_ = answer;
    // The header goes with its answer.
    answer_->attempt = {};
    idleTimeout_ = answer.idleTimeout;
    if (answer.notRun)
        return true;
    if (!answer.genuine || answer.encoded) {
        connection_->close();
        attemptFailed(PlacementEnd::Broken, true, "the answer is not the upstream's");
        return true;
    }
    const auto isStream = route_->kind == RequestKind::Stream && isSuccess(answer.status);
    if (relayed_ && relayed_->hasBegun()) {
        if (isStream) {
            relayed_->resume();
            return true;
        }
        connection_->close();
        attemptFailed(PlacementEnd::Failed, true, "the stream was not resumed");
        return true;
    }
    auto mode = AnswerRelay::Mode::Whole;
    if (isStream)
        mode = route_->resumable ? AnswerRelay::Mode::ResumableStream : AnswerRelay::Mode::Stream;
    const auto isHead = message_.method() == boost::beast::http::verb::head;
    keepAlive_ = keepAlive_ && relay_.keepsCallers();
    relayed_.emplace(header, mode, isHead, !keepAlive_);
    if (mode == AnswerRelay::Mode::Stream) {
        // Nothing can be sent again from here on.
        message_.body().clear();
        message_.body().shrink_to_fit();
    }
    return true;
}

auto Exchange::bodyArrived(std::string_view bytes) -> void
{
    lastByteAt_ = steadyNow();
    if (!answer_ || answer_->notRun || !relayed_)
        return;
    const auto self = shared_from_this();
    if (!std::exchange(startedTold_, true) && onEngine_ && isSuccess(answer_->status))
        relay_.reportStart(number_, service_);
    auto text = relayed_->take(bytes);
    if (text.empty())
        return;
    if (times_.firstByte == Time {}) {
        times_.firstByte = lastByteAt_;
        relay_.metrics().firstByte(times_.firstByte - times_.arrived);
    }
    state_ = State::Answering;
    caller_->write(std::move(text));
}

auto Exchange::answerEnded(bool whole) -> void
{
    const auto self = shared_from_this();
    if (!whole || !answer_) {
        attemptFailed(PlacementEnd::Broken, true, answer_ ? "the answer was cut" : "no answer");
        return;
    }
    relay_.pool().release(connection_, idleTimeout_);
    if (answer_->notRun) {
        const auto end = answer_->misdirected ? PlacementEnd::Misdirected : PlacementEnd::Full;
        if (answer_->misdirected)
            --sends_;
        attemptFailed(end, false, placementEndName(end));
        return;
    }
    const auto status = answer_->status;
    if (promisesNotRun(status)) {
        // The status would promise more than the engine has said.
        relayed_.reset();
        attemptFailed(PlacementEnd::Failed, true, "the upstream refused without proof");
        return;
    }
    if (status >= 500 && route_->repeatable() && sends_ < route_->attempts && !relayed_->hasBegun()) {
        mayHaveRun_ = true;
        if (mayTryAgain()) {
            endAttempt(PlacementEnd::Failed);
            tried_.push_back(upstream_->id());
            relayed_.reset();
            findPlace();
            return;
        }
    }
    endAttempt(isSuccess(status) ? PlacementEnd::Finished : PlacementEnd::Failed);
    caller_->write(relayed_->finish());
    if (times_.firstByte == Time {})
        times_.firstByte = steadyNow();
    finish(isSuccess(status) ? RequestOutcome::Served : RequestOutcome::Passed, status, "");
}

auto Exchange::endAttempt(PlacementEnd end) -> void
{
    connection_.reset();
    relay_.metrics().attemptEnded(end);
    if (onEngine_)
        relay_.reportEnd(number_, service_, end);
    else
        relay_.balancer(service_).ended(steadyNow(), upstream_->id(), end);
}

auto Exchange::mayTryAgain() -> bool
{
    if (mayHaveRun_ && !route_->repeatable())
        return false;
    if (sends_ >= route_->attempts || tried_.size() >= mostTried || timeLeft() < leastTime)
        return false;
    return sends_ == 0 || relay_.budget(service_).take(steadyNow());
}

auto Exchange::attemptFailed(PlacementEnd end, bool mayHaveRun, std::string_view reason) -> void
{
    mayHaveRun_ = mayHaveRun_ || mayHaveRun;
    endAttempt(end);
    tried_.push_back(upstream_->id());
    const auto again = mayTryAgain();
    relay_.log(LogLevel::Warning, "attempt-failed",
        { { "id", std::string(request_.attempt) }, { "upstream", upstream_->name },
            { "end", std::string(placementEndName(end)) }, { "reason", std::string(reason) },
            { "may-have-run", mayHaveRun_ ? "true" : "false" }, { "sends", std::to_string(sends_) },
            { "again", again ? "true" : "false" } });
    if (relayed_ && !relayed_->hasBegun())
        relayed_.reset();
    if (again)
        findPlace();
    else
        giveUp(reason);
}

auto Exchange::giveUp(std::string_view reason) -> void
{
    giveUp(reason, shortRetry + milliseconds(relay_.draw() % std::uint64_t(shortRetry.count())));
}

auto Exchange::giveUp(std::string_view reason, milliseconds retryAfter) -> void
{
    if (relayed_ && relayed_->hasBegun()) {
        auto* const caller = caller_;
        finish(RequestOutcome::Cut, relayed_->status(), reason);
        caller->abort();
        return;
    }
    if (mayHaveRun_)
        answerOwn(502, reason);
    else
        answerOwn(503, reason, retryAfter);
}

auto Exchange::answerOwn(unsigned status, std::string_view reason, std::optional<milliseconds> retryAfter)
    -> void
{
    const auto self = shared_from_this();
    keepAlive_ = keepAlive_ && relay_.keepsCallers();
    caller_->write(platform::writeOwnAnswer({ status, request_.attempt, reason, retryAfter, !keepAlive_ }));
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

auto Exchange::callerGone() -> void
{
    if (state_ == State::Done)
        return;
    const auto self = shared_from_this();
    if (state_ == State::Placing && onEngine_) {
        relay_.withdraw(number_, service_);
    } else if (connection_) {
        connection_->close();
        endAttempt(PlacementEnd::Cancelled);
    }
    finish(RequestOutcome::Gone, 0, "the caller left");
}

auto Exchange::check(Time now) -> std::optional<Time>
{
    const auto self = shared_from_this();
    if (state_ == State::Placing)
        return checkPlacing(now);
    if (state_ == State::Done)
        return std::nullopt;
    auto times = AttemptTimes {};
    times.deadline = deadline_;
    times.sent = times_.sent;
    times.lastByte = lastByteAt_;
    times.goal = route_->goal;
    times.connected = connection_->isConnected();
    times.answering = state_ == State::Answering;
    times.mayGoElsewhere = route_->repeatable() && sends_ < route_->attempts;
    const auto check = AttemptClock::check(now, times);
    if (check.due == AttemptClock::Due::Nothing)
        return check.next;
    connection_->close();
    if (check.due == AttemptClock::Due::Deadline)
        deadlinePassed();
    else if (check.due == AttemptClock::Due::Connection)
        connectionFailed();
    else
        attemptFailed(PlacementEnd::Silent, true, "no byte came");
    return state_ == State::Done ? std::nullopt : std::optional(deadline_);
}

auto Exchange::checkPlacing(Time now) -> std::optional<Time>
{
    if (now < deadline_)
        return deadline_;
    if (onEngine_)
        relay_.withdraw(number_, service_);
    giveUp("no place came in time");
    return std::nullopt;
}

auto Exchange::deadlinePassed() -> void
{
    mayHaveRun_ = true;
    endAttempt(lastByteAt_ == times_.sent ? PlacementEnd::Silent : PlacementEnd::Cancelled);
    if (relayed_ && relayed_->hasBegun())
        giveUp("the deadline passed");
    else
        answerOwn(504, "the deadline passed");
}

auto Exchange::logEnd(RequestOutcome outcome, unsigned status, std::string_view reason) -> void
{
    times_.ended = steadyNow();
    auto fields = std::vector<LogField> { { "id", std::string(request_.attempt) },
        { "outcome", std::string(outcomeName(outcome)) }, { "status", std::to_string(status) },
        { "route", route_ == nullptr ? "-" : route_->name },
        { "organisation", organisation_ == nullptr ? "-" : organisation_->name },
        { "upstream", upstream_ ? upstream_->name : "-" }, { "sends", std::to_string(sends_) },
        { "configuration", std::to_string(table_ == nullptr ? 0 : table_->version()) } };
    std::ranges::move(times_.fields(), std::back_inserter(fields));
    std::ranges::move(placementFields(placement_), std::back_inserter(fields));
    if (!reason.empty())
        fields.push_back({ "reason", std::string(reason) });
    const auto isGood = outcome == RequestOutcome::Served || outcome == RequestOutcome::Passed;
    relay_.log(isGood ? LogLevel::Info : LogLevel::Warning, "request-end", std::move(fields));
}

} // namespace camphorshunt::router
