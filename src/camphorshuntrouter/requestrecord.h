#pragma once

#include <cstdint>
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
    Time placementStarted {};
    Time sent {};
    Time firstByte {};
    Time ended {};

    /** Milliseconds since the arrival, for the log. */
    auto fields() const -> std::vector<LogField>;
};

/** What is told of a request at its end. Names are "-" where it did not come to one. */
struct EndedRequest {
    std::string_view attempt;
    RequestOutcome outcome {};
    unsigned status = 0;
    std::string_view route;
    std::string_view organisation;
    std::string_view upstream;
    std::uint32_t sends = 0;
    std::uint64_t configuration = 0;
    std::string_view reason;

    /** `placement`: what the placer knew of it; none if it was not asked. */
    auto fields(const RequestTimes& times, const std::optional<PlacementInputs>& placement) const
        -> std::vector<LogField>;
};

} // namespace camphorshunt::router
