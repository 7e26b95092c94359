#include "exchange.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "relay.h"

// How an exchange moves to another upstream when its own falls silent.

namespace camphorshunt::router {

namespace {

/** Bounds of the pause between two tries to move a request away from a silent upstream. */
constexpr auto minMovePause = Duration(std::chrono::milliseconds(250));
constexpr auto maxMovePause = Duration(std::chrono::milliseconds(1000));
/**
 * Time for another upstream to refuse the request or to begin its answer. A full one refuses at once; two may
 * work on a request for 400 ms at most.
 */
constexpr auto takeoverTime = Duration(std::chrono::milliseconds(200));

} // namespace

auto Exchange::recordSilence(Time now) -> void
{
    longestSilence_ = std::max(longestSilence_, now - lastByteAt_);
}

auto Exchange::recordProgress() -> void
{
    const auto now = steadyNow();
    recordSilence(now);
    lastByteAt_ = now;
    withdrawMove();
}

auto Exchange::onSilence(Time now) -> Time
{
    if (move_ && move_->isSent()) {
        if (now < move_->sent + takeoverTime)
            return move_->sent + takeoverTime;
        if (!move_->connection->isConnected()) {
            onMoveRejected(PlacementEnd::Unreachable);
            return now + minMovePause;
        }
        connection_->close();
        tried_.push_back(upstream_->id());
        takeOver(PlacementEnd::Silent, "no byte came");
        return now + minMovePause;
    }
    if (move_)
        return now + minMovePause;
    if (now < nextMoveAt_)
        return nextMoveAt_;
    if (!relay_.retryBudget(service_).allows(now)) {
        postponeMove("the retry budget is spent", minMovePause);
        return nextMoveAt_;
    }
    auto avoid = enginesToAvoid();
    avoid.push_back(upstream_->id());
    if (onEngine_) {
        move_.emplace().number = relay_.addExchange(*this);
        requestEngine(*move_->number, std::move(avoid));
        return now + minMovePause;
    }
    const auto* const other = relay_.balancer(service_).choose(now, relay_.failureDomain(), avoid);
    if (other == nullptr) {
        postponeMove("no upstream is left to try", maxMovePause);
    } else {
        move_.emplace();
        startMove(*other, nullptr);
    }
    return now + takeoverTime;
}

auto Exchange::onMovePlaced(const UpstreamEntry& upstream, const UpstreamEntry* copyFrom) -> void
{
    const auto accepts = !upstream.draining && relay_.availability().maySend(steadyNow(), upstream);
    if (accepts && mayMove() && relay_.retryBudget(service_).allows(steadyNow())) {
        startMove(upstream, copyFrom);
        return;
    }
    withdrawMove();
    postponeMove(
        accepts ? "no retry is allowed any more" : "the engine drains, leaves or rests", minMovePause);
}

auto Exchange::startMove(const UpstreamEntry& upstream, const UpstreamEntry* copyFrom) -> void
{
    const auto now = steadyNow();
    if (copyFrom != nullptr && !relay_.availability().sendableFrom(now, copyFrom->process()))
        copyFrom = nullptr;
    static_cast<void>(relay_.retryBudget(service_).tryAcquire(now));
    ++sends_;
    if (!onEngine_)
        relay_.balancer(service_).requestStarted(upstream.id());
    move_->upstream = upstream;
    move_->sent = now;
    const auto streamStatus = answer_.hasBegun() ? std::optional(answer_.sentStatus()) : std::nullopt;
    move_->listener = std::make_shared<TakeoverListener>(std::string(request_.attempt), streamStatus,
        TakeoverListener::Handlers {
            .maySend = [this] { return relay_.availability().maySend(steadyNow(), *move_->upstream); },
            .isFirstAnswer = [this] { return move_->connection->isFirstAnswer(); },
            .onAnswer =
                [this](const platform::EngineAnswer& answer) {
                    const auto& target = *move_->upstream;
                    relay_.recordAvailability(target, AnswerIntake::statedBy(answer, target.name));
                    if (const auto other = AnswerIntake::otherSender(answer, target.name))
                        relay_.recordOtherSender(target, *other);
                },
            .onRejected = [this](PlacementEnd end) { onMoveRejected(end); },
            .onAccepted =
                [this](const platform::ResponseHeader& header) {
                    const auto self = shared_from_this();
                    connection_->close();
                    tried_.push_back(upstream_->id());
                    takeOver(PlacementEnd::Silent, "no byte came");
                    return headArrived(header);
                },
        });
    auto bytes = serializeForUpstream(
        routed(), upstream, copyFrom, inMilliseconds(timeLeft()), answer_.lastEventId());
    move_->connection = relay_.pool().send(upstream, std::move(bytes), isHead(), false, *move_->listener);
    relay_.scheduleCheck(shared_from_this(), now + takeoverTime);
}

auto Exchange::onMoveRejected(PlacementEnd end) -> void
{
    const auto self = shared_from_this();
    const auto move = *std::exchange(move_, std::nullopt);
    move.connection->close();
    const auto counts = end != PlacementEnd::Unreachable && end != PlacementEnd::Misdirected
        && end != PlacementEnd::Cancelled;
    sends_ -= counts ? 0 : 1;
    tried_.push_back(move.upstream->id());
    reportMoveEnd(move, end);
    const auto fault = move.connection->fault();
    postponeMove(fault.empty() ? placementEndName(end) : fault, minMovePause);
}

auto Exchange::takeOver(PlacementEnd end, std::string_view reason) -> void
{
    auto move = *std::exchange(move_, std::nullopt);
    mayHaveRun_ = true;
    endFailedAttempt(end, reason, true);
    if (move.number) {
        relay_.removeExchange(number_);
        number_ = *move.number;
    }
    beginAttempt(*move.upstream, move.sent);
    connection_ = std::move(move.connection);
    connection_->setListener(*this);
}

auto Exchange::reportMoveEnd(const Takeover& move, PlacementEnd end) -> void
{
    relay_.metrics().attemptEnded(end);
    if (!onEngine_) {
        relay_.balancer(service_).requestEnded(steadyNow(), move.upstream->id(), end);
        return;
    }
    relay_.reportEnd(*move.number, service_, end);
    relay_.removeExchange(*move.number);
}

auto Exchange::withdrawMove() -> void
{
    if (!move_)
        return;
    const auto move = *std::exchange(move_, std::nullopt);
    if (move.isSent()) {
        move.connection->close();
        reportMoveEnd(move, PlacementEnd::Cancelled);
    } else if (move.number) {
        relay_.withdraw(*move.number, service_);
        relay_.removeExchange(*move.number);
    }
}

auto Exchange::postponeMove(std::string_view reason, Duration pause) -> void
{
    const auto now = steadyNow();
    nextMoveAt_ = now + std::clamp(pause, minMovePause, maxMovePause);
    relay_.log(LogLevel::Info, "silent-upstream-kept",
        { { "id", std::string(request_.attempt) }, { "upstream", upstream_->name },
            { "silence-ms", std::to_string(inMilliseconds(now - lastByteAt_).count()) },
            { "begun", answer_.hasBegun() ? "true" : "false" }, { "reason", std::string(reason) } });
}

} // namespace camphorshunt::router
