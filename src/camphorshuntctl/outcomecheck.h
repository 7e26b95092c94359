#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "camphorshunt/action.h"
#include "camphorshunt/event.h"
#include "camphorshunt/result.h"

namespace camphorshunt::ctl {

/** What a trace says must become of one request. */
struct ExpectedOutcome {
    RequestId request;
    RequestOutcome outcome {};
};

/** Parses `{"expect":{"request":<id>,"outcome":"not-run"}}`; nothing if the line states no outcome. */
auto parseExpectedOutcome(std::string_view line) -> Result<std::optional<ExpectedOutcome>>;

/**
 * Watches a run and holds it against what must be true of every run: one final answer for each request,
 * nothing sent after it, and "not run" only while no attempt can have run.
 */
class OutcomeCheck {
public:
    /** The error names the request and the rule that this step breaks. */
    auto checkStep(const Event& event, const Actions& actions) -> Result<void>;
    /** Holds the run against the outcomes that the trace states; call it after the last step. */
    auto checkExpected(const ExpectedOutcome& expected) const -> Result<void>;
    auto requests() const -> std::size_t { return requests_.size(); }

private:
    struct Request {
        std::optional<RequestOutcome> outcome;
        /** Attempts sent and not yet ended. */
        std::uint32_t openAttempts {};
        bool mayHaveExecuted = false;
    };

    auto checkAction(const AnswerCaller& answer) -> Result<void>;
    auto checkAction(const FinishCaller& finish) -> Result<void>;
    auto checkAction(const SendAttempt& send) -> Result<void>;
    template <typename Other> auto checkAction(const Other& other) -> Result<void>;
    auto recordOutcome(RequestId id, RequestOutcome outcome) -> Result<void>;

    std::map<RequestId, Request> requests_;
};

} // namespace camphorshunt::ctl
