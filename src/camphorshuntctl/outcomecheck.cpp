#include "outcomecheck.h"

#include <algorithm>
#include <array>
#include <string>

#include <boost/json.hpp>

namespace camphorshunt::ctl {

namespace {

namespace json = boost::json;

auto ruleViolation(RequestId id, std::string_view rule) -> Error
{
    return failure(Error::Code::Invalid, "request " + std::to_string(id.value), std::string(rule));
}

auto parseOutcome(std::string_view name) -> std::optional<RequestOutcome>
{
    static constexpr auto outcomes = std::array { RequestOutcome::Done, RequestOutcome::NotRun,
        RequestOutcome::Unknown, RequestOutcome::Failed };
    const auto* const found = std::ranges::find(outcomes, name, outcomeName);
    return found == outcomes.end() ? std::nullopt : std::optional(*found);
}

auto provesNotExecuted(AttemptResult result) -> bool
{
    return result == AttemptResult::NotSent || result == AttemptResult::Refused;
}

} // namespace

auto parseExpectedOutcome(std::string_view line) -> Result<std::optional<ExpectedOutcome>>
{
    auto code = boost::system::error_code {};
    const auto value = json::parse(line, code);
    const auto* const object = code ? nullptr : value.if_object();
    const auto* const expect = object ? object->if_contains("expect") : nullptr;
    if (!expect)
        return std::optional<ExpectedOutcome> {};

    const auto* const fields = expect->if_object();
    const auto* const request = fields ? fields->if_contains("request") : nullptr;
    const auto* const name = fields ? fields->if_contains("outcome") : nullptr;
    const auto outcome = name && name->is_string() ? parseOutcome(name->get_string()) : std::nullopt;
    const auto id = request ? request->to_number<std::uint64_t>(code) : std::uint64_t {};
    if (!request || code || !outcome)
        return failure(Error::Code::Malformed, "expect",
            "must have a request number and an outcome; allowed are done, not-run, unknown and failed");
    return std::optional(ExpectedOutcome { RequestId { id }, *outcome });
}

auto OutcomeCheck::checkStep(const Event& event, const Actions& actions) -> Result<void>
{
    if (const auto* const arrived = std::get_if<RequestArrived>(&event))
        requests_[arrived->request];
    if (const auto* const ended = std::get_if<AttemptEnded>(&event)) {
        auto& request = requests_[ended->request];
        request.openAttempts -= request.openAttempts > 0 ? 1 : 0;
        request.mayHaveExecuted = request.mayHaveExecuted || !provesNotExecuted(ended->result);
    }
    for (const auto& action : actions) {
        const auto checked = std::visit([this](const auto& value) { return checkAction(value); }, action);
        if (!checked)
            return checked.error();
    }
    return boost::outcome_v2::success();
}

auto OutcomeCheck::checkExpected(const ExpectedOutcome& expected) const -> Result<void>
{
    const auto found = requests_.find(expected.request);
    const auto actual = found == requests_.end() ? std::nullopt : found->second.outcome;
    if (actual == expected.outcome)
        return boost::outcome_v2::success();
    return ruleViolation(expected.request,
        "ended as " + std::string(actual ? outcomeName(*actual) : "nothing") + ", stated is "
            + std::string(outcomeName(expected.outcome)));
}

auto OutcomeCheck::checkAction(const AnswerCaller& answer) -> Result<void>
{
    return recordOutcome(answer.request, answer.outcome);
}

auto OutcomeCheck::checkAction(const FinishCaller& finish) -> Result<void>
{
    return recordOutcome(finish.request, finish.outcome);
}

auto OutcomeCheck::checkAction(const SendAttempt& send) -> Result<void>
{
    auto& request = requests_[send.request];
    if (request.outcome)
        return ruleViolation(send.request, "was sent to an upstream after its caller was answered");
    ++request.openAttempts;
    return boost::outcome_v2::success();
}

template <typename Other> auto OutcomeCheck::checkAction(const Other&) -> Result<void>
{
    return boost::outcome_v2::success();
}

auto OutcomeCheck::recordOutcome(RequestId id, RequestOutcome outcome) -> Result<void>
{
    auto& request = requests_[id];
    if (request.outcome)
        return ruleViolation(id, "was given two final answers");
    if (outcome == RequestOutcome::NotRun && (request.openAttempts > 0 || request.mayHaveExecuted))
        return ruleViolation(id, "was answered not-run although an attempt may have run");
    request.outcome = outcome;
    return boost::outcome_v2::success();
}

} // namespace camphorshunt::ctl
