#pragma once

#include "camphorshunt/time.h"

namespace camphorshunt::router {

/** How far a request that was sent to an upstream has come. */
struct AttemptTimes {
    Time deadline {};
    Time sent {};
    Time lastByte {};
    /** Time in which the answer, or a stream's first event, is on time; zero if unset. */
    Duration goal {};
    bool connected = false;
    /** Some of the answer has been passed on. */
    bool answering = false;
    /** Another upstream may take the request over. */
    bool mayRetryElsewhere = false;
};

/** Says when a request at an upstream has waited long enough. */
class AttemptClock {
public:
    enum class Due : unsigned char {
        Nothing,
        /** The deadline has passed, and the upstream has not said so itself. */
        Deadline,
        /** No connection was made in time. */
        Connection,
        /** No byte came in time, and another upstream may do better. */
        Silence,
    };
    struct Check {
        Due due {};
        /** With nothing due: when to check again. */
        Time next {};
    };

    static auto check(Time now, const AttemptTimes& times) -> Check;
    /** Time in which a connection is made. */
    static auto connectLimit() -> Duration;
};

} // namespace camphorshunt::router
