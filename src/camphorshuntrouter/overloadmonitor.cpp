#include "overloadmonitor.h"

#include <algorithm>
#include <chrono>

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

constexpr auto maxLate = Duration(milliseconds(40));
constexpr auto lateTicksOfOverload = 3;
/** Two readiness checks a second apart must fail before the platform stops sending new connections. */
constexpr auto minDiversion = Duration(milliseconds(2500));
constexpr auto maxDiversion = Duration(milliseconds(20000));
/** An overload later than this after the last one is a new one, not the return of the same callers. */
constexpr auto calmTime = Duration(milliseconds(10000));
/** Keeps routers of one failure domain from coming back together. */
constexpr auto diversionSpread = milliseconds(1500);

} // namespace

auto OverloadMonitor::isOverloaded() const -> bool { return lateTicks_ >= lateTicksOfOverload; }

auto OverloadMonitor::tick(Time now, Duration late) -> void
{
    lateTicks_ = late > maxLate || reach_.isFailing(now) ? lateTicks_ + 1 : 0;
    if (!isOverloaded())
        return;
    if (now >= divertUntil_) {
        const auto isNew = divertUntil_ == Time {} || now - divertUntil_ > calmTime;
        diversion_ = isNew ? minDiversion : std::min(2 * diversion_, maxDiversion);
    }
    const auto spread = milliseconds(random_() % std::uint64_t(diversionSpread.count()));
    divertUntil_ = std::max(divertUntil_, now + diversion_ + spread);
}

} // namespace camphorshunt::router
