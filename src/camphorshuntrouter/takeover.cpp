#include "takeover.h"

#include "answerintake.h"

namespace camphorshunt::router {

namespace {

constexpr auto firstServerError = 500U;

} // namespace

auto TakeoverListener::connectionOpened() -> void
{
    if (handlers_.maySend && !handlers_.maySend())
        reject(PlacementEnd::Cancelled);
}

auto TakeoverListener::connectionFailed() -> void { reject(PlacementEnd::Unreachable); }

auto TakeoverListener::headArrived(const platform::ResponseHeader& header) -> bool
{
    const auto self = shared_from_this();
    const auto answer = platform::readEngineAnswer(header);
    if (handlers_.onAnswer)
        handlers_.onAnswer(answer);
    const auto isFirstAnswer = !handlers_.isFirstAnswer || handlers_.isFirstAnswer();
    if (!AnswerIntake::answers(answer, attempt_, isFirstAnswer))
        return false;
    const auto isUnusable = answer.status >= firstServerError || !answer.hasSignature
        || (streamStatus_ && !AnswerIntake::resumes(header, *streamStatus_));
    if (answer.notRun)
        reject(answer.misdirected ? PlacementEnd::Misdirected : PlacementEnd::Full);
    else if (isUnusable)
        reject(PlacementEnd::Failed);
    else
        return std::exchange(handlers_, {}).onAccepted(header);
    return true;
}

auto TakeoverListener::answerEnded(AnswerEnd /*end*/) -> void { reject(PlacementEnd::Broken); }

auto TakeoverListener::reject(PlacementEnd end) -> void
{
    const auto self = shared_from_this();
    if (const auto handler = std::exchange(handlers_, {}).onRejected)
        handler(end);
}

} // namespace camphorshunt::router
