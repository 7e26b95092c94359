#include "exchange.h"

#include "clock.h"
#include "relay.h"

// How an exchange waits for a caller that takes its answer slowly.

namespace camphorshunt::router {

auto Exchange::passOn(std::string text) -> void
{
    if (times_.firstByte == Time {}) {
        times_.firstByte = steadyNow();
        relay_.metrics().firstByte(times_.firstByte - times_.arrived);
    }
    state_ = State::Answering;
    caller_->write(std::move(text));
    pauseIfCongested();
}

auto Exchange::pauseIfCongested() -> void
{
    if (pausedAt_ || !caller_->isCongested())
        return;
    pausedAt_ = steadyNow();
    connection_->pauseReading();
}

auto Exchange::onCallerReady() -> void
{
    if (!pausedAt_)
        return;
    const auto pause = steadyNow() - *pausedAt_;
    pausedAt_.reset();
    pausedTime_ += pause;
    lastByteAt_ += pause;
    connection_->resumeReading();
}

} // namespace camphorshunt::router
