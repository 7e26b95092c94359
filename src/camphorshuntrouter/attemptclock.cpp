#include "attemptclock.h"

#include <algorithm>

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

/** A connection within a region is made in a few milliseconds; beyond this the upstream is out of reach. */
constexpr auto connectTimeout = Duration(milliseconds(300));
/** The upstream ends work at the deadline itself; its own answer gets this long to arrive. */
constexpr auto deadlineGrace = Duration(milliseconds(100));
/** Idempotent work goes elsewhere when no answer came within this many times its goal. */
constexpr auto silenceGoalFactor = 2.5;
constexpr auto minSilence = Duration(milliseconds(200));
/** Pause in a resumable stream after which another engine goes on. */
constexpr auto streamSilence = Duration(milliseconds(1000));

auto silenceLimit(const AttemptTimes& times) -> Duration
{
    if (times.answering)
        return streamSilence;
    return std::max(minSilence, scaled(times.goal, silenceGoalFactor));
}

} // namespace

auto AttemptClock::connectLimit() -> Duration { return connectTimeout; }

auto AttemptClock::check(Time now, const AttemptTimes& times) -> Check
{
    const auto latest = times.deadline + deadlineGrace;
    if (now >= latest)
        return { Due::Deadline, {} };
    if (!times.connected) {
        const auto connectBy = times.sent + connectTimeout;
        return now < connectBy ? Check { Due::Nothing, std::min(latest, connectBy) }
                               : Check { Due::Connection, {} };
    }
    if (!times.mayRetryElsewhere)
        return { Due::Nothing, latest };
    const auto silentAt = times.lastByte + silenceLimit(times);
    return now < silentAt ? Check { Due::Nothing, std::min(latest, silentAt) } : Check { Due::Silence, {} };
}

} // namespace camphorshunt::router
