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

} // namespace

auto Exchange::onSilence(Time now) -> Time
{
    if (moveNumber_)
        return now + minMovePause;
    if (now < nextMoveAt_)
        return nextMoveAt_;
    if (!relay_.retryBudget(service_).allows(now)) {
        postponeMove("the retry budget is spent", minMovePause);
        return nextMoveAt_;
    }
    auto avoid = tried_;
    avoid.push_back(upstream_->id());
    if (onEngine_) {
        moveNumber_ = relay_.addExchange(*this);
        requestEngine(*moveNumber_, std::move(avoid));
        return now + minMovePause;
    }
    const auto* const other = relay_.balancer(service_).choose(now, relay_.failureDomain(), avoid);
    if (other == nullptr)
        postponeMove("no upstream is left to try", maxMovePause);
    else
        moveTo(*other, nullptr);
    return now + minMovePause;
}

auto Exchange::onMovePlaced(const UpstreamEntry& upstream, const UpstreamEntry* copyFrom) -> void
{
    const auto accepts = !upstream.draining && relay_.availability().maySend(steadyNow(), upstream);
    if (accepts && mayMove() && relay_.retryBudget(service_).allows(steadyNow())) {
        moveTo(upstream, copyFrom);
        return;
    }
    withdrawMove();
    postponeMove(
        accepts ? "no retry is allowed any more" : "the engine drains, leaves or rests", minMovePause);
}

auto Exchange::moveTo(const UpstreamEntry& upstream, const UpstreamEntry* copyFrom) -> void
{
    static_cast<void>(relay_.retryBudget(service_).tryAcquire(steadyNow()));
    const auto number = std::exchange(moveNumber_, std::nullopt);
    connection_->close();
    mayHaveRun_ = true;
    tried_.push_back(upstream_->id());
    endFailedAttempt(PlacementEnd::Silent, "no byte came", true);
    if (number) {
        relay_.removeExchange(number_);
        number_ = *number;
    }
    send(upstream, copyFrom);
}

auto Exchange::withdrawMove() -> void
{
    if (!moveNumber_)
        return;
    relay_.withdraw(*moveNumber_, service_);
    relay_.removeExchange(*moveNumber_);
    moveNumber_.reset();
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
