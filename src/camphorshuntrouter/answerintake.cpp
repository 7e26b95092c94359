#include "answerintake.h"

#include "platform/text.h"

namespace camphorshunt::router {

auto isSuccess(unsigned status) -> bool { return status >= 200 && status < 300; }

auto promisesNotRun(unsigned status) -> bool
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

auto AnswerIntake::consumeHead(const platform::ResponseHeader& header, const Expected& expected) -> Head
{
    const auto answer = platform::readEngineAnswer(header);
    received_ = statedBy(answer, expected.upstream);
    otherSender_ = otherSender(answer, expected.upstream);
    if (!answers(answer, expected.attempt, expected.isFirstAnswer))
        return Head::Mismatched;
    answer_ = received_;
    if (answer.notRun)
        return Head::NotRun;
    if (!answer.hasSignature || answer.encoded)
        return Head::NotGenuine;
    const auto isStream = expected.route.kind == RequestKind::Stream && isSuccess(answer.status);
    if (hasBegun()) {
        if (!resumes(header, relay_->status()))
            return Head::NotResumed;
        relay_->resume();
        return Head::Accepted;
    }
    auto mode = AnswerRelay::Mode::Buffered;
    if (isStream)
        mode = expected.route.resumable ? AnswerRelay::Mode::ResumableStream : AnswerRelay::Mode::Stream;
    finalStream_ = mode == AnswerRelay::Mode::Stream;
    relay_.emplace(header, mode, expected.isHead, expected.lastAnswer);
    return Head::Accepted;
}

auto AnswerIntake::answers(const platform::EngineAnswer& answer, std::string_view attempt, bool isFirstAnswer)
    -> bool
{
    return answer.attempt == attempt || (isFirstAnswer && answer.notRun && answer.attempt.empty());
}

auto AnswerIntake::resumes(const platform::ResponseHeader& header, unsigned status) -> bool
{
    constexpr auto eventStream = std::string_view("text/event-stream");
    auto type = platform::valueOf(header, "Content-Type");
    return header.result_int() == status
        && (type.empty() || platform::equalNames(platform::takeField(type, ';'), eventStream));
}

auto AnswerIntake::otherSender(const platform::EngineAnswer& answer, std::string_view upstream)
    -> std::optional<OtherSender>
{
    if (answer.answeredBy.empty() || answer.answeredBy == upstream)
        return std::nullopt;
    return OtherSender { std::string(answer.answeredBy), answer.misdirected, answer.leaving };
}

auto AnswerIntake::statedBy(platform::EngineAnswer answer, std::string_view upstream)
    -> platform::EngineAnswer
{
    const auto isOther = answer.misdirected || (!answer.answeredBy.empty() && answer.answeredBy != upstream);
    // Views into the header, which does not outlive the answer's arrival.
    answer.attempt = {};
    answer.answeredBy = {};
    if (isOther) {
        answer.leaving = false;
        answer.rest.reset();
        answer.restDefect = platform::RestDefect::None;
    }
    return answer;
}

auto AnswerIntake::consumeBody(std::string_view bytes) -> std::string
{
    if (!answer_ || answer_->notRun || !relay_)
        return {};
    const auto before = relay_->streamFigures();
    auto text = relay_->consume(bytes);
    advanced_ = !before || relay_->streamFigures()->events > before->events;
    return text;
}

auto AnswerIntake::isComplete(AnswerEnd end) const -> bool
{
    if (!answer_ || end == AnswerEnd::Broken)
        return false;
    return answer_->notRun || !relay_ || relay_->isComplete(end);
}

auto AnswerIntake::incompleteness() const -> std::string_view
{
    const auto figures = streamFigures();
    if (isForeign())
        return "the stream does not continue the one before";
    return figures && figures->endsInsideEvent ? "the stream ended inside an event"
                                               : "the stream ended before its first event";
}

auto AnswerIntake::discardUnsent() -> void
{
    if (!hasBegun())
        relay_.reset();
}

} // namespace camphorshunt::router
