#include "threadload.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace camphorshunt::router {

namespace {

constexpr auto reportInterval = Duration(std::chrono::seconds(1));

} // namespace

auto ThreadLoad::threadProcessorTime() -> Duration
{
    auto used = timespec {};
    if (::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) != 0)
        return {};
    return std::chrono::duration_cast<Duration>(
        std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

auto ThreadLoad::processorSinceTick() const -> Duration { return threadProcessorTime() - processorAtTick_; }

auto ThreadLoad::tick(Time now, Time due) -> std::optional<Report>
{
    processorAtTick_ = threadProcessorTime();
    late_ = std::max(now - due, Duration {});
    current_.late = std::max(current_.late, late_);
    if (now < reportAt_)
        return std::nullopt;
    reportAt_ = now + reportInterval;
    auto report = std::exchange(current_, {});
    report.processor = processorAtTick_ - std::exchange(processorAtReport_, processorAtTick_);
    return report;
}

} // namespace camphorshunt::router
