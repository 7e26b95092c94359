#include "attemptclock.h"

#include <algorithm>

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

/** Connecting within a region takes a few milliseconds; beyond this the upstream is unreachable. */
constexpr auto connectTimeout = Duration(milliseconds(300));
/** The upstream ends requests at the deadline itself; its answer has this long to arrive after it. */
constexpr auto deadlineGrace = Duration(milliseconds(100));
/** A repeatable request is retried elsewhere if no byte arrives within this multiple of its goal. */
constexpr auto silenceGoalFactor = 2.5;
constexpr auto minSilence = Duration(milliseconds(200));
/** Pause in a resumable stream after which it is resumed at another engine. */
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
