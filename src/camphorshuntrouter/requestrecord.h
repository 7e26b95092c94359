#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/action.h"
#include "camphorshunt/placement.h"
#include "camphorshunt/time.h"

namespace camphorshunt::router {

/** How a request ended for its caller. */
enum class RequestOutcome : unsigned char {
    Served,
    /** An upstream's failure was passed on. */
    Passed,
    /** Not run. */
    Refused,
    Failed,
    /** The answer was broken off. */
    Cut,
    /** The caller left. */
    Gone,
};

auto outcomeName(RequestOutcome outcome) -> std::string_view;

/** When a request came to what; unset times are those of steps that it did not reach. */
struct RequestTimes {
    Time arrived {};
    Time asked {};
    Time sent {};
    Time firstByte {};
    Time ended {};

    /** Milliseconds since the arrival, for the log. */
    auto fields() const -> std::vector<LogField>;
};

/** What the placer knew of the request, for the log; none if it was not asked. */
auto placementFields(const std::optional<PlacementInputs>& inputs) -> std::vector<LogField>;

} // namespace camphorshunt::router
