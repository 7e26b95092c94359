#pragma once

#include "camphorshunt/time.h"

namespace camphorshunt {

/**
 * Tells whether most recent attempts of one origin have failed, whatever their target. If so, the fault lies
 * with the origin, such as a congested network link, and not with the targets. Counts fade within about a
 * second.
 */
class FailureRate {
public:
    auto record(Time now, bool succeeded) -> void;
    auto isFailing(Time now) const -> bool;

private:
    auto fading(Time now) const -> double;

    double successes_ = 0;
    double failures_ = 0;
    Time updatedAt_ {};
};

} // namespace camphorshunt
