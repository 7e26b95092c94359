#include "failurerate.h"

#include <chrono>
#include <cmath>

namespace camphorshunt {

namespace {

constexpr auto fadeTime = std::chrono::duration<double>(1.0);
/** Fewer failures may be those of one target. */
constexpr auto minFailures = 3.0;

} // namespace

auto FailureRate::fading(Time now) const -> double
{
    return std::exp(-(std::chrono::duration<double>(now - updatedAt_) / fadeTime));
}

auto FailureRate::record(Time now, bool succeeded) -> void
{
    const auto factor = fading(now);
    successes_ *= factor;
    failures_ *= factor;
    updatedAt_ = now;
    (succeeded ? successes_ : failures_) += 1;
}

auto FailureRate::isFailing(Time now) const -> bool
{
    // Both fade alike, so only the bound depends on the time.
    return failures_ > successes_ && failures_ * fading(now) >= minFailures;
}

} // namespace camphorshunt
