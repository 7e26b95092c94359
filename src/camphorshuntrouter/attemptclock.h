#pragma once

#include "camphorshunt/time.h"

namespace camphorshunt::router {

/** Times and progress of a request that was sent to an upstream. */
struct AttemptTimes {
    Time deadline {};
    Time sent {};
    Time lastByte {};
    /** The route's latency goal for the answer, or for a stream's first event; zero if unset. */
    Duration goal {};
    bool connected = false;
    /** Part of the answer has been passed on to the caller. */
    bool answering = false;
    /** The request may be sent or resumed at another upstream. */
    bool mayRetryElsewhere = false;
};

/** Decides when an attempt at an upstream has timed out. */
class AttemptClock {
public:
    enum class Due : unsigned char {
        Nothing,
        /** The deadline has passed, and the upstream has not ended the request itself. */
        Deadline,
        /** No connection was established in time. */
        Connection,
        /** No byte arrived in time, and the request may be sent to another upstream. */
        Silence,
    };
    struct Check {
        Due due {};
        /** With nothing due: when to check again. */
        Time next {};
    };

    static auto check(Time now, const AttemptTimes& times) -> Check;
    /** Timeout for establishing a connection. */
    static auto connectLimit() -> Duration;
};

} // namespace camphorshunt::router
