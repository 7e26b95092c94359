#include "tracereplay.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "camphorshunt/core.h"

#include "outcomecheck.h"
#include "tracejson.h"

namespace camphorshunt::ctl {

namespace {

namespace json = boost::json;

auto atLine(std::size_t line, const Error& error) -> Error
{
    return failure(error.code, "line " + std::to_string(line), error.text());
}

auto actionTexts(const TraceStep& step, const Actions& actions) -> std::vector<std::string>
{
    const auto line = json::parse(traceLine(step.time, step.event, actions));
    auto texts = std::vector<std::string> {};
    for (const auto& action : line.at("actions").as_array())
        texts.push_back(json::serialize(action));
    return texts;
}

auto textAt(const std::vector<std::string>& texts, std::size_t index) -> std::string
{
    return index < texts.size() ? texts[index] : "no action";
}

auto compare(const TraceStep& step, const Actions& actions) -> Result<void>
{
    const auto recorded = actionTexts(step, step.actions);
    const auto replayed = actionTexts(step, actions);
    const auto [left, right] = std::ranges::mismatch(recorded, replayed);
    if (left == recorded.end() && right == replayed.end())
        return boost::outcome_v2::success();
    const auto index = static_cast<std::size_t>(left - recorded.begin());
    return failure(Error::Code::Conflict, "action " + std::to_string(index + 1),
        "recorded " + textAt(recorded, index) + ", replayed " + textAt(replayed, index));
}

/** Replays the lines of one trace, without its first, and collects the expected outcomes. */
class Replay {
public:
    explicit Replay(std::unique_ptr<Core> core)
        : core_(std::move(core))
    {
    }

    auto replayLine(const std::string& line) -> Result<void>
    {
        const auto expected = parseExpectedOutcome(line);
        if (!expected)
            return expected.error();
        if (expected.value()) {
            expected_.push_back(*expected.value());
            return boost::outcome_v2::success();
        }
        const auto step = parseTraceLine(line);
        if (!step)
            return step.error();
        return replayStep(step.value());
    }

    auto finish() const -> Result<ReplaySummary>
    {
        for (const auto& expected : expected_) {
            const auto checked = check_.checkExpected(expected);
            if (!checked)
                return checked.error();
        }
        return ReplaySummary { steps_, check_.requests(), expected_.size() };
    }

private:
    auto replayStep(const TraceStep& step) -> Result<void>
    {
        ++steps_;
        auto actions = Actions {};
        core_->handle(step.time, step.event, actions);
        const auto compared = compare(step, actions);
        return compared ? check_.checkStep(step.event, actions) : compared;
    }

    std::unique_ptr<Core> core_;
    OutcomeCheck check_;
    std::vector<ExpectedOutcome> expected_;
    std::size_t steps_ {};
};

} // namespace

auto replayTrace(std::istream& trace) -> Result<ReplaySummary>
{
    auto line = std::string {};
    std::getline(trace, line);
    const auto settings = parseTraceHeader(line);
    if (!settings)
        return atLine(1, settings.error());
    auto core = Core::create(settings.value());
    if (!core)
        return atLine(1, core.error());

    auto replay = Replay(std::move(core).value());
    for (auto number = std::size_t { 2 }; std::getline(trace, line) && !trace.eof(); ++number) {
        const auto replayed = replay.replayLine(line);
        if (!replayed)
            return atLine(number, replayed.error());
    }
    return replay.finish();
}

} // namespace camphorshunt::ctl
