#include "warmup/warmuprate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace camphorshunt {

namespace {

constexpr auto second = Duration(std::chrono::seconds(1));
/** Requests may arrive closer to each other than they were sent. */
constexpr auto arrivalMargin = 1.0;

auto wholePart(double value) -> std::size_t
{
    return static_cast<std::size_t>(std::max(1.0, std::floor(value)));
}

} // namespace

auto WarmupRate::setLimits(const WarmupLimits& limits, double fraction) -> void
{
    limits_ = limits;
    const auto rate = limits.requestsPerSecond * fraction;
    if (rate <= 0)
        return;
    coldCount_ = wholePart(rate);
    const auto length = std::chrono::duration<double>(double(coldCount_) / rate);
    coldWindow_ = std::clamp(std::chrono::ceil<Duration>(length), second, AdmissionWindow::longest);
    const auto most = (limits.requestsPerSecond * limits.overshoot + limits.slack) * fraction;
    warmCount_ = std::max(coldCount_, wholePart(most - arrivalMargin));
}

auto WarmupRate::recordStatement(Time now, Duration remaining) -> void
{
    if (remaining > Duration {})
        coldUntil_ = std::max(coldUntil_, now + remaining);
}

auto WarmupRate::recordAdmission(Time now) -> void
{
    if (limits_.requestsPerSecond > 0)
        window_.record(now);
}

auto WarmupRate::mayAdmit(Time now) const -> bool
{
    if (limits_.requestsPerSecond <= 0)
        return true;
    if (window_.count(now, second) >= warmCount_)
        return false;
    return !isCold(now) || (now >= heldUntil_ && window_.count(now, coldWindow_) < coldCount_);
}

auto WarmupRate::admittedLately(Time now) const -> std::size_t { return window_.count(now, second); }

} // namespace camphorshunt
