#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "camphorshunt/action.h"
#include "camphorshunt/event.h"
#include "camphorshunt/result.h"

namespace camphorshunt::ctl {

/** The outcome that a trace expects for one request. */
struct ExpectedOutcome {
    RequestId request;
    RequestOutcome outcome {};
};

/** Parses `{"expect":{"request":<id>,"outcome":"not-run"}}`; empty if the line has no `expect`. */
auto parseExpectedOutcome(std::string_view line) -> Result<std::optional<ExpectedOutcome>>;

/**
 * Checks the steps of a replay against rules that hold for every request: at most one final outcome, no
 * attempt sent after it, and "not run" only if no attempt can have been executed.
 */
class OutcomeCheck {
public:
    /** Checks the next step, in order; the error names the request and the rule that the step violates. */
    auto checkStep(const Event& event, const Actions& actions) -> Result<void>;
    /** Compares a request's outcome with the one that the trace expects; to be called after the last step. */
    auto checkExpected(const ExpectedOutcome& expected) const -> Result<void>;
    auto requests() const -> std::size_t { return requests_.size(); }

private:
    struct Request {
        std::optional<RequestOutcome> outcome;
        /** Attempts sent that have not ended yet. */
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
