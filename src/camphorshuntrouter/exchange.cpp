#include "exchange.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "relay.h"

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

/** A connection within a region is made in a few milliseconds; beyond this the upstream is out of reach. */
constexpr auto connectTimeout = Duration(milliseconds(300));
/** The upstream ends work at the deadline itself; its own answer gets this long to arrive. */
constexpr auto deadlineGrace = Duration(milliseconds(100));
/** A try that has less time left is not worth sending. */
constexpr auto leastTime = Duration(milliseconds(5));
/** Idempotent work goes elsewhere when no answer came within this many times its goal. */
constexpr auto silenceGoals = 2.5;
constexpr auto shortestSilence = Duration(milliseconds(200));
/** Pause in a resumable stream after which another engine goes on. */
constexpr auto streamSilence = Duration(milliseconds(1000));
/** Upstreams that may be tried without a connection being made. */
constexpr auto mostTried = std::size_t { 4 };
/** When a caller may come again after a refusal that is over soon. */
constexpr auto shortRetry = milliseconds(150);
/** When a caller of a router that shuts down may come again; another router takes it at once. */
constexpr auto drainRetry = milliseconds(50);
/** When a caller may come again to a router that has no configuration yet. */
constexpr auto startRetry = milliseconds(300);

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
    , arrived_(steadyNow())
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
    deadline_ = arrived_ + std::min<milliseconds>(patience, route_->timeout);
    service_ = RouteTable::chooseTarget(*route_, hashName(request_.attempt));
    const auto* const service = table_->service(service_);
    onEngine_ = service != nullptr && service->engine.has_value();
    relay_.budget(service_).noteRequest(arrived_);
    relay_.watch(shared_from_this(), deadline_);
    findPlace();
}

auto Exchange::admit() -> bool
{
    if (table_ == nullptr) {
        answerOwn(503, "no configuration has been read yet", startRetry);
        return false;
    }
    if (request_.attempt.empty()) {
        answerOwn(400, "the request has no id");
        return false;
    }
    route_ = table_->find(request_.host, request_.target);
    if (route_ == nullptr) {
        answerOwn(404, "no route leads there");
        return false;
    }
    if (!table_->asksForKeys() || route_->open)
        return true;
    organisation_ = table_->holderOf(request_.key);
    if (organisation_ == nullptr) {
        answerOwn(401, "the key is unknown");
        return false;
    }
    return true;
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
    askedAt_ = steadyNow();
    if (onEngine_)
        askForEngine();
    else
        chooseUpstream();
}

auto Exchange::askForEngine() -> void
{
    auto place = PeerPlace {};
    auto& request = place.request;
    request.key.number = number_;
    request.service = service_;
    if (organisation_ != nullptr)
        request.organisation = organisation_->id;
    request.failureDomain = relay_.failureDomain();
    request.priority = route_->priority;
    if (organisation_ != nullptr && organisation_->priority)
        request.priority = *organisation_->priority;
    if (request_.prompt)
        request.prompt = *request_.prompt;
    request.repeatable = route_->repeatable();
    request.avoid = tried_;
    const auto left = timeLeft();
    const auto sinceArrival = steadyNow() - arrived_;
    place.deadlineLeft = left;
    // A stream that goes on elsewhere is urgent, however late its first event was.
    place.goalLeft = route_->goal.count() == 0 || (relayed_ && relayed_->hasBegun())
        ? left
        : std::min<Duration>(Duration(route_->goal) - sinceArrival, left);
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
    if (relayed_ && relayed_->hasBegun())
        giveUp(refusalName(reason));
    else if (mayHaveRun_)
        answerOwn(502, refusalName(reason));
    else
        answerOwn(503, refusalName(reason), retryAfter);
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
    sentAt_ = steadyNow();
    lastByteAt_ = sentAt_;
    startedTold_ = false;
    answer_.reset();
    idleTimeout_.reset();
    ++sends_;
    if (!onEngine_)
        relay_.balancer(service_).begun(upstream.id());

    auto details = platform::EngineRequest {};
    details.timeLeft = inMilliseconds(left);
    details.upstream = upstream.name;
    if (organisation_ != nullptr)
        details.organisation = organisation_->name;
    if (copyFrom != nullptr)
        details.copyFrom = copyFrom->endpoint.text();
    if (relayed_)
        details.resumeAfter = relayed_->lastEvent();
    const auto hasBody = !message_.body().empty() || message_.has_content_length() || message_.chunked();
    if (hasBody)
        details.bodyBytes = message_.body().size();
    auto bytes = platform::writeEngineHead(message_.base(), details);
    bytes += message_.body();

    const auto isHead = message_.method() == boost::beast::http::verb::head;
    const auto fresh = !route_->repeatable() && !onEngine_;
    connection_ = relay_.pool().send(upstream, std::move(bytes), isHead, fresh, *this);
    relay_.watch(shared_from_this(), sentAt_ + connectTimeout);
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
    if (firstByteAt_ == Time {}) {
        firstByteAt_ = lastByteAt_;
        relay_.metrics().firstByte(firstByteAt_ - arrived_);
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
    if (firstByteAt_ == Time {})
        firstByteAt_ = steadyNow();
    finish(isSuccess(status) ? Outcome::Served : Outcome::Passed, status, "");
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
    if (relayed_ && relayed_->hasBegun()) {
        auto* const caller = caller_;
        finish(Outcome::Cut, relayed_->status(), reason);
        caller->abort();
        return;
    }
    if (mayHaveRun_)
        answerOwn(502, reason);
    else
        answerOwn(503, reason, shortRetry + milliseconds(relay_.draw() % std::uint64_t(shortRetry.count())));
}

auto Exchange::answerOwn(unsigned status, std::string_view reason, std::optional<milliseconds> retryAfter)
    -> void
{
    const auto self = shared_from_this();
    keepAlive_ = keepAlive_ && relay_.keepsCallers();
    caller_->write(platform::writeOwnAnswer({ status, request_.attempt, reason, retryAfter, !keepAlive_ }));
    finish(promisesNotRun(status) ? Outcome::Refused : Outcome::Failed, status, reason);
}

auto Exchange::finish(Outcome outcome, unsigned status, std::string_view reason) -> void
{
    const auto self = shared_from_this();
    state_ = State::Done;
    logEnd(outcome, status, reason);
    relay_.metrics().requestEnded(outcomeName(outcome), steadyNow() - arrived_);
    auto* const caller = std::exchange(caller_, nullptr);
    if (outcome != Outcome::Cut && outcome != Outcome::Gone)
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
    finish(Outcome::Gone, 0, "the caller left");
}

auto Exchange::silenceLimit() const -> Duration
{
    const auto goals = std::chrono::duration<double, std::micro>(Duration(route_->goal)) * silenceGoals;
    return std::max(shortestSilence, std::chrono::duration_cast<Duration>(goals));
}

auto Exchange::check(Time now) -> std::optional<Time>
{
    if (state_ == State::Done)
        return std::nullopt;
    const auto self = shared_from_this();
    const auto last = deadline_ + (state_ == State::Placing ? Duration {} : deadlineGrace);
    if (state_ == State::Placing) {
        if (now < last)
            return last;
        if (onEngine_)
            relay_.withdraw(number_, service_);
        giveUp("no place came in time");
        return std::nullopt;
    }
    if (now >= last) {
        connection_->close();
        mayHaveRun_ = true;
        endAttempt(lastByteAt_ == sentAt_ ? PlacementEnd::Silent : PlacementEnd::Cancelled);
        if (relayed_ && relayed_->hasBegun())
            giveUp("the deadline passed");
        else
            answerOwn(504, "the deadline passed");
        return std::nullopt;
    }
    if (!connection_->isConnected()) {
        if (now < sentAt_ + connectTimeout)
            return sentAt_ + connectTimeout;
        connection_->close();
        connectionFailed();
        return state_ == State::Done ? std::nullopt : std::optional(deadline_);
    }
    if (!route_->repeatable())
        return last;
    const auto limit = state_ == State::Answering ? streamSilence : silenceLimit();
    if (now < lastByteAt_ + limit)
        return std::min(last, lastByteAt_ + limit);
    if (sends_ >= route_->attempts)
        return last;
    connection_->close();
    attemptFailed(PlacementEnd::Silent, true, "no byte came");
    return state_ == State::Done ? std::nullopt : std::optional(deadline_);
}

auto Exchange::outcomeName(Outcome outcome) -> std::string_view
{
    switch (outcome) {
    case Outcome::Served:
        return "served";
    case Outcome::Passed:
        return "passed";
    case Outcome::Refused:
        return "refused";
    case Outcome::Failed:
        return "failed";
    case Outcome::Cut:
        return "cut";
    case Outcome::Gone:
        return "gone";
    }
    return "unknown";
}

auto Exchange::logEnd(Outcome outcome, unsigned status, std::string_view reason) -> void
{
    const auto sinceArrival = [this](Time time) {
        return time == Time {} ? std::string("-") : std::to_string(inMilliseconds(time - arrived_).count());
    };
    auto fields = std::vector<LogField> { { "id", std::string(request_.attempt) },
        { "outcome", std::string(outcomeName(outcome)) }, { "status", std::to_string(status) },
        { "route", route_ == nullptr ? "-" : route_->name },
        { "organisation", organisation_ == nullptr ? "-" : organisation_->name },
        { "upstream", upstream_ ? upstream_->name : "-" }, { "sends", std::to_string(sends_) },
        { "asked-ms", sinceArrival(askedAt_) }, { "sent-ms", sinceArrival(sentAt_) },
        { "first-ms", sinceArrival(firstByteAt_) }, { "end-ms", sinceArrival(steadyNow()) },
        { "configuration", std::to_string(table_ == nullptr ? 0 : table_->version()) } };
    if (placement_) {
        fields.push_back({ "placer-wait-ms", std::to_string(placement_->wait.count()) });
        fields.push_back({ "placer-kept", std::to_string(placement_->keptTokens) });
        fields.push_back({ "placer-waiting", std::to_string(placement_->waiting) });
    }
    if (!reason.empty())
        fields.push_back({ "reason", std::string(reason) });
    const auto isGood = outcome == Outcome::Served || outcome == Outcome::Passed;
    relay_.log(isGood ? LogLevel::Info : LogLevel::Warning, "request-end", std::move(fields));
}

} // namespace camphorshunt::router
