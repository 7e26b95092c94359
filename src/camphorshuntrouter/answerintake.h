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
/** Whether the fleet uses this status only for requests that have not run. */
auto promisesNotRun(unsigned status) -> bool;

/**
 * Checks the heads of the upstreams' answers to one request, over all its attempts, and converts what may be
 * passed on into bytes for the caller.
 */
class AnswerIntake {
public:
    enum class Head : std::uint8_t {
        /** The answer is passed on to the caller. */
        Accepted,
        /** The upstream proves that it has not run the request. */
        NotRun,
        /** The answer is for another request. */
        Mismatched,
        /** The answer has no upstream's signature, or has an encoding that can't be passed on. */
        NotGenuine,
        /** The answer does not resume the stream of which the caller has a part already. */
        NotResumed,
    };

    struct Expected {
        std::string_view attempt;
        const Route& route;
        bool isHead = false;
        /** The caller's connection closes after this answer. */
        bool lastAnswer = false;
        /** Name of the upstream to which the request was sent. */
        std::string_view upstream = {};
        /** See `UpstreamConnection::isFirstAnswer`. */
        bool isFirstAnswer = true;
    };

    /**
     * Whether the answer is for the attempt. Without an id only a refusal is, as an upstream refuses requests
     * of which it could not read one; on a kept connection it may be an earlier refusal once more.
     */
    static auto answers(const platform::EngineAnswer& answer, std::string_view attempt, bool isFirstAnswer)
        -> bool;

    /** Whether the answer can be the rest of a stream that began with this status. */
    static auto resumes(const platform::ResponseHeader& header, unsigned status) -> bool;

    /** An upstream that answered at the address of another one. */
    struct OtherSender {
        std::string name;
        /** It refused the request, as that was meant for the other one. */
        bool misdirected = false;
        bool leaving = false;
    };
    static auto otherSender(const platform::EngineAnswer& answer, std::string_view upstream)
        -> std::optional<OtherSender>;

    /** An answer without views, and without what another upstream says about itself. */
    static auto statedBy(platform::EngineAnswer answer, std::string_view upstream) -> platform::EngineAnswer;

    auto beginAttempt() -> void
    {
        answer_.reset();
        received_ = {};
    }
    auto consumeHead(const platform::ResponseHeader& header, const Expected& expected) -> Head;
    /** Bytes for the caller; empty if there are none yet. */
    auto consumeBody(std::string_view bytes) -> std::string;
    /** Whether an answer that ended in this way has a head and all of its body. */
    auto isComplete(AnswerEnd end) const -> bool;
    /** What a stream lacks that has ended without being complete, for the log. */
    auto incompleteness() const -> std::string_view;
    /** Ends a complete answer; returns the last bytes for the caller. */
    auto finish() -> std::string { return relay_->finish(); }
    /** Drops the current answer, unless part of it has been passed on. */
    auto discardUnsent() -> void;

    /**
     * The last answer received, whether for this request or not. What it says about the upstream's
     * availability is removed if another upstream sent it. Contains no views.
     */
    auto received() const -> const platform::EngineAnswer& { return received_; }
    /** Who else sent the last answer, by its own account; empty if nobody did. */
    auto otherSender() const -> const std::optional<OtherSender>& { return otherSender_; }
    auto hasHead() const -> bool { return answer_.has_value(); }
    auto isSuccessful() const -> bool { return answer_ && isSuccess(answer_->status); }
    auto notRun() const -> bool { return answer_ && answer_->notRun; }
    auto misdirected() const -> bool { return answer_ && answer_->misdirected; }
    auto status() const -> unsigned { return answer_ ? answer_->status : 0; }
    auto idleTimeout() const -> std::optional<std::chrono::seconds>
    {
        return answer_ ? answer_->idleTimeout : std::nullopt;
    }

    /** Part of an answer has been passed on, so that no other one can replace it. */
    auto hasBegun() const -> bool { return relay_ && relay_->hasBegun(); }
    /** Another upstream's answer may take the place of the current one, or continue it. */
    auto isReplaceable() const -> bool { return !hasBegun() || relay_->isResumable(); }
    /** Status of the answer of which a part has been passed on. */
    auto sentStatus() const -> unsigned { return relay_ ? relay_->status() : 0; }
    /** Id of the last event passed on; empty if there is none. */
    auto lastEventId() const -> std::string_view
    {
        return relay_ ? std::string_view(relay_->lastEventId()) : "";
    }
    /** Figures of the stream that is passed on; empty for other answers. */
    auto streamFigures() const -> std::optional<StreamFigures>
    {
        return relay_ ? relay_->streamFigures() : std::nullopt;
    }
    /**
     * The last bytes were progress of the answer. Those of a stream are if they complete an event: an
     * upstream that is stuck may trickle others.
     */
    auto hasAdvanced() const -> bool { return advanced_; }
    /** Bytes that wait until more of the answer has arrived. */
    auto pendingBytes() const -> std::size_t { return relay_ ? relay_->pendingBytes() : 0; }
    /** A stream has sent more bytes without completing an event than any event has. */
    auto isEndless() const -> bool { return relay_ && relay_->isEndless(); }
    /** See `AnswerRelay::isForeign`. */
    auto isForeign() const -> bool { return relay_ && relay_->isForeign(); }
    /** The answer is a stream that can't be resumed at another upstream. */
    auto isFinalStream() const -> bool { return finalStream_; }

private:
    std::optional<platform::EngineAnswer> answer_;
    platform::EngineAnswer received_;
    std::optional<OtherSender> otherSender_;
    std::optional<AnswerRelay> relay_;
    bool finalStream_ = false;
    bool advanced_ = false;
};

} // namespace camphorshunt::router
