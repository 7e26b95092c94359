#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "camphorshunt/fleetconfiguration.h"

#include "answerrelay.h"

#include "platform/enginewire.h"

namespace camphorshunt::router {

auto isSuccess(unsigned status) -> bool;
/** Statuses by which a fleet promises that a request has not run. */
auto promisesNotRun(unsigned status) -> bool;

/**
 * Judges the heads of the upstreams' answers to one request, over all its tries, and turns what the caller
 * may have of them into bytes.
 */
class AnswerIntake {
public:
    enum class Head : std::uint8_t {
        /** The caller gets the body. */
        Accepted,
        /** The upstream proves that it has not run the request. */
        NotRun,
        /** The answer is for another request. */
        Mismatched,
        /** It does not come from an upstream, or can't be passed on. */
        NotGenuine,
        /** It does not go on with the stream that the caller has begun to get. */
        NotResumed,
    };

    struct Expected {
        std::string_view attempt;
        const Route& route;
        bool isHead = false;
        /** The caller's connection ends with the answer. */
        bool lastAnswer = false;
    };

    auto beginAttempt() -> void { answer_.reset(); }
    auto consumeHead(const platform::ResponseHeader& header, const Expected& expected) -> Head;
    /** Bytes for the caller; empty if there are none yet. */
    auto consumeBody(std::string_view bytes) -> std::string;
    /** Bytes that end a whole answer. */
    auto finish() -> std::string { return relay_->finish(); }
    /** Drops an answer of which the caller has nothing yet. */
    auto discardUnsent() -> void;

    auto hasHead() const -> bool { return answer_.has_value(); }
    auto isSuccessful() const -> bool { return answer_ && isSuccess(answer_->status); }
    auto notRun() const -> bool { return answer_ && answer_->notRun; }
    auto misdirected() const -> bool { return answer_ && answer_->misdirected; }
    auto status() const -> unsigned { return answer_ ? answer_->status : 0; }
    auto idleTimeout() const -> std::optional<std::chrono::seconds>
    {
        return answer_ ? answer_->idleTimeout : std::nullopt;
    }

    /** The caller has some of an answer, so that no other one can be given. */
    auto hasBegun() const -> bool { return relay_ && relay_->hasBegun(); }
    /** The status that the caller has got. */
    auto sentStatus() const -> unsigned { return relay_ ? relay_->status() : 0; }
    /** Id of the last event passed on; empty if there is none. */
    auto lastEventId() const -> std::string_view
    {
        return relay_ ? std::string_view(relay_->lastEventId()) : "";
    }
    /** A stream that can't go on at another upstream. */
    auto isFinalStream() const -> bool { return finalStream_; }

private:
    std::optional<platform::EngineAnswer> answer_;
    std::optional<AnswerRelay> relay_;
    bool finalStream_ = false;
};

} // namespace camphorshunt::router
