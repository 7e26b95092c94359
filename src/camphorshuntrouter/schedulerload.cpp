#include "schedulerload.h"

#include <algorithm>
#include <ctime>
#include <utility>

namespace camphorshunt::router {

namespace {

constexpr auto reportInterval = Duration(std::chrono::seconds(1));

} // namespace

auto SchedulerLoad::threadProcessorTime() -> Duration
{
    auto used = timespec {};
    if (::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) != 0)
        return {};
    return std::chrono::duration_cast<Duration>(
        std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

auto SchedulerLoad::processorSinceTick() const -> Duration
{
    return threadProcessorTime() - processorAtTick_;
}

auto SchedulerLoad::passDone(Duration time) -> void
{
    ++current_.passes;
    current_.placing += time;
}

auto SchedulerLoad::tick(Time now, Duration late) -> std::optional<Report>
{
    processorAtTick_ = threadProcessorTime();
    current_.late = std::max(current_.late, late);
    if (now < reportAt_)
        return std::nullopt;
    reportAt_ = now + reportInterval;
    auto report = std::exchange(current_, {});
    report.processor = processorAtTick_ - std::exchange(processorAtReport_, processorAtTick_);
    return report;
}

} // namespace camphorshunt::router
