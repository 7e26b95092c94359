#include "exchange.h"

#include "clock.h"

// How an exchange waits for a caller that takes its answer slowly.

namespace camphorshunt::router {

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
