#include "attempt.h"

#include <algorithm>

namespace camphorshunt {

namespace {

/** Reading pauses when more bytes of an answer wait for a slow caller, and resumes at half of that. */
constexpr auto maxUncreditedBytes = std::size_t { 256 } * 1024;
constexpr auto resumeUncreditedBytes = maxUncreditedBytes / 2;
/** Longer error bodies of upstreams are truncated to this size. */
constexpr auto maxErrorBodyBytes = std::size_t { 64 } * 1024;
constexpr auto progressTokens = 64U;
constexpr auto progressInterval = std::chrono::milliseconds(50);

auto isSuccess(std::uint16_t status) -> bool { return status >= 200 && status < 300; }

auto milliseconds(Duration duration) -> std::chrono::milliseconds
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

} // namespace

Attempt::Attempt(SendAttempt order, std::string id, std::shared_ptr<const UpstreamKind> kind, bool headPassed,
    Handlers handlers)
    : order_(std::move(order))
    , id_(std::move(id))
    , kind_(std::move(kind))
    , handlers_(std::move(handlers))
    , reader_(kind_->reader(order_.resumeAfter))
    , headPassed_(headPassed)
    , tokensReported_(order_.resumeAfter)
    , reportedAt_(std::chrono::steady_clock::now())
{
}

auto Attempt::start(net::HttpClient& client, net::HttpRequest request) -> void
{
    auto spec = net::HttpCallSpec {};
    spec.endpoint = order_.endpoint;
    spec.request = std::move(request);
    spec.freshConnection = order_.freshConnection;
    spec.connectTimeout = milliseconds(order_.connectTimeout);
    spec.firstByteTimeout = milliseconds(order_.firstByteTimeout);
    spec.gapTimeout = milliseconds(order_.gapTimeout);

    auto handlers = net::HttpCallHandlers {};
    handlers.onHead = [self = shared_from_this()](const auto& head) { self->handleHead(head); };
    handlers.onBody = [self = shared_from_this()](std::string_view bytes) { self->handleBody(bytes); };
    handlers.onEnd = [self = shared_from_this()](net::HttpCallEnd end) { self->handleEnd(end); };
    call_ = client.start(std::move(spec), std::move(handlers));
}

auto Attempt::cancel() -> void
{
    if (!ended_)
        abort(AttemptResult::Cancelled);
}

auto Attempt::credit(std::size_t bytes) -> void
{
    uncreditedBytes_ -= std::min(uncreditedBytes_, bytes);
    if (!paused_ || uncreditedBytes_ > resumeUncreditedBytes)
        return;
    paused_ = false;
    call_->resume();
}

auto Attempt::detach() -> void
{
    detached_ = true;
    credit(uncreditedBytes_);
}

auto Attempt::handleHead(const net::HttpResponseHead& head) -> void
{
    if (head.header("Camphorshunt-Attempt-Id") != id_) {
        abort(AttemptResult::Crossed);
        return;
    }
    status_ = head.status;
    contentType_ = head.header("Content-Type");
    if (status_ == 429 || status_ == 503) {
        mode_ = Mode::Ignore;
        earlyResult_ = AttemptResult::Refused;
        return;
    }
    if (!isSuccess(status_)) {
        // The caller has received the head of an earlier attempt, so this answer cannot be forwarded.
        mode_ = headPassed_ ? Mode::Ignore : Mode::Buffer;
        earlyResult_ = headPassed_ ? AttemptResult::Broken : AttemptResult::Failed;
        return;
    }
    mode_ = kind_->streams() ? Mode::Stream : Mode::Buffer;
    if (mode_ != Mode::Stream || headPassed_)
        return;
    headPassed_ = true;
    if (!detached_)
        handlers_.onHead({ order_.request, status_, contentType_ });
}

auto Attempt::handleBody(std::string_view bytes) -> void
{
    if (mode_ == Mode::Buffer) {
        buffered_ += bytes;
        if (earlyResult_ && buffered_.size() > maxErrorBodyBytes) {
            buffered_.resize(maxErrorBodyBytes);
            call_->discardConnection();
        }
        return;
    }
    if (mode_ != Mode::Stream)
        return;
    passChunk(reader_->consume(bytes));
    reportProgress();
    if (reader_->isMalformed())
        abort(AttemptResult::Broken);
}

auto Attempt::passChunk(std::string bytes) -> void
{
    if (bytes.empty() || detached_)
        return;
    uncreditedBytes_ += bytes.size();
    handlers_.onChunk({ order_.request, std::move(bytes) });
    if (paused_ || uncreditedBytes_ <= maxUncreditedBytes)
        return;
    paused_ = true;
    call_->pause();
}

auto Attempt::reportProgress() -> void
{
    const auto tokens = reader_->outputTokens();
    const auto now = std::chrono::steady_clock::now();
    if (tokens <= tokensReported_ || reader_->isComplete())
        return;
    if (tokens - tokensReported_ < progressTokens && now - reportedAt_ < progressInterval)
        return;
    tokensReported_ = tokens;
    reportedAt_ = now;
    handlers_.onProgress({ order_.request, order_.attempt, tokens });
}

auto Attempt::abort(AttemptResult result) -> void
{
    earlyResult_ = result;
    mode_ = Mode::Ignore;
    call_->discardConnection();
    call_->cancel();
}

auto Attempt::handleEnd(net::HttpCallEnd end) -> void
{
    ended_ = true;
    const auto result = resultOf(end);
    if (mode_ == Mode::Buffer && result == AttemptResult::Complete)
        passBuffered(RequestOutcome::Done);
    else if (mode_ == Mode::Buffer && result == AttemptResult::Failed)
        passBuffered(RequestOutcome::Failed);

    auto ended = AttemptEnded {};
    ended.request = order_.request;
    ended.attempt = order_.attempt;
    ended.result = result;
    ended.promptTokens = reader_->promptTokens();
    ended.outputTokens = reader_->outputTokens();
    ended.eventsPassed = reader_->eventsPassed();
    ended.headPassed = headPassed_;
    // Move the handler out: its receiver may release the last outside reference to this attempt.
    const auto onEnd = std::move(handlers_.onEnd);
    onEnd(ended);
}

auto Attempt::passBuffered(RequestOutcome outcome) -> void
{
    headPassed_ = true;
    if (!detached_)
        handlers_.onComplete({ order_.request, status_, contentType_, outcome, std::move(buffered_) });
}

auto Attempt::resultOf(net::HttpCallEnd end) const -> AttemptResult
{
    // After the upstream's end marker the answer is complete, however the connection ended.
    if (mode_ == Mode::Stream && reader_->isComplete())
        return AttemptResult::Complete;
    const auto isCutFailure = earlyResult_ == AttemptResult::Failed && end != net::HttpCallEnd::Complete;
    if (earlyResult_ && !isCutFailure)
        return *earlyResult_;
    switch (end) {
    case net::HttpCallEnd::Complete:
        return mode_ == Mode::Buffer ? AttemptResult::Complete : AttemptResult::Broken;
    case net::HttpCallEnd::NotSent:
        return AttemptResult::NotSent;
    case net::HttpCallEnd::Silent:
        return AttemptResult::Silent;
    case net::HttpCallEnd::Cancelled:
        return AttemptResult::Cancelled;
    case net::HttpCallEnd::Broken:
        break;
    }
    return AttemptResult::Broken;
}

} // namespace camphorshunt
