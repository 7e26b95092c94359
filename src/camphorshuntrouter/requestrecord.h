#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/action.h"
#include "camphorshunt/placement.h"
#include "camphorshunt/prompt.h"
#include "camphorshunt/time.h"

#include "answerend.h"
#include "answerrelay.h"

namespace camphorshunt::router {

/** How a request ended for its caller. */
enum class RequestOutcome : unsigned char {
    Served,
    /** The caller received an upstream's answer that reports a failure. */
    Passed,
    /** Not run, as the status promises. */
    Refused,
    Failed,
    /** The answer was truncated. */
    Cut,
    /** The caller disconnected. */
    Gone,
};

inline constexpr auto requestOutcomes = std::array { RequestOutcome::Served, RequestOutcome::Passed,
    RequestOutcome::Refused, RequestOutcome::Failed, RequestOutcome::Cut, RequestOutcome::Gone };

auto outcomeName(RequestOutcome outcome) -> std::string_view;

/** When a request last reached each step; the time of a step that it did not reach is unset. */
struct RequestTimes {
    Time arrived {};
    Time placementStarted {};
    Time sent {};
    Time firstByte {};
    Time ended {};

    /** Log fields, in milliseconds since the arrival. */
    auto fields() const -> std::vector<LogField>;
};

/** The id of a prompt part as callers write it. */
auto partName(std::uint64_t part) -> std::string;

/** The log record of an attempt that failed. */
struct FailedAttempt {
    std::string_view attempt;
    std::string_view upstream;
    PlacementEnd end {};
    std::string_view reason;
    bool mayHaveRun = false;
    std::uint32_t sends = 0;
    /** The request is tried once more. */
    bool again = false;
    /** Bytes of the answer's body have arrived. */
    bool begun = false;
    /** What is wrong with the upstream's answer; empty if nothing was found. */
    std::string_view fault {};
    std::span<const PromptPart> parts {};

    auto fields() const -> std::vector<LogField>;
};

/** The log record of a request's end. Names that were not determined are "-". */
struct EndedRequest {
    std::string_view attempt;
    RequestOutcome outcome {};
    unsigned status = 0;
    std::string_view route;
    std::string_view organisation;
    std::string_view upstream;
    std::uint32_t sends = 0;
    std::uint64_t configuration = 0;
    /** Age of the directory of upstreams when the request was last sent; empty if it was not sent. */
    std::optional<Duration> directoryAge;
    /** Longest time without a byte from the upstreams; empty if the request was not sent. */
    std::optional<Duration> longestSilence;
    /** How the end of the upstream's last answer was determined; empty if it did not end. */
    std::optional<AnswerEnd> answerEnd;
    /** What the caller received of a stream; empty for other answers. */
    std::optional<StreamFigures> stream;
    std::string_view reason;

    /** `placement`: the figures on which the placer based its decision; none if it made none. */
    auto fields(const RequestTimes& times, const std::optional<PlacementInputs>& placement) const
        -> std::vector<LogField>;

private:
    auto answerFields() const -> std::vector<LogField>;
};

} // namespace camphorshunt::router
