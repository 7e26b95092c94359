#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "answerend.h"
#include "eventboundary.h"

#include "platform/httpheaders.h"

namespace camphorshunt::router {

/** What has been received of a stream. */
struct StreamFigures {
    std::uint64_t events = 0;
    bool endsInsideEvent = false;
};

/**
 * Converts an upstream's answer into bytes for the caller. A plain answer is buffered until it is complete or
 * reaches a size limit, a stream is passed on as it arrives. Of a resumable stream only complete events are
 * passed on, since another engine may continue after the last one.
 */
class AnswerRelay {
public:
    enum class Mode : std::uint8_t {
        Buffered,
        /** A plain answer that is too large to buffer. */
        Unbuffered,
        Stream,
        ResumableStream
    };
    static constexpr auto maxEventBytes = std::size_t { 256 } * 1024;

    AnswerRelay(const platform::ResponseHeader& header, Mode mode, bool isHead, bool lastAnswer);

    /** Bytes to write now; empty if there are none yet. */
    auto consume(std::string_view bytes) -> std::string;
    /** Ends a complete answer; returns the last bytes for the caller. */
    auto finish() -> std::string;
    /** Continues the stream with another engine's answer, without its head; drops a partial event. */
    auto resume() -> void;
    /**
     * Whether all of the answer has arrived. A stream that ends inside an event was broken off, however it is
     * framed, and so was one that ends with its connection before its first event.
     */
    auto isComplete(AnswerEnd end) const -> bool;

    /** Bytes that wait until more of the answer has arrived. */
    auto pendingBytes() const -> std::size_t { return pending_.size(); }
    /** A stream has sent more bytes without completing an event than any event has. */
    auto isEndless() const -> bool { return isStream() && boundary_.partialBytes() > maxEventBytes; }

    /**
     * A resumed stream has sent something that does not follow on the events passed on: no event, or one
     * whose id is not a later one. Nothing is passed on from there.
     */
    auto isForeign() const -> bool { return foreign_; }

    /** Part of the answer has been passed on, so that no other one can replace it. */
    auto hasBegun() const -> bool { return begun_; }
    /** Another engine can continue the stream after the last event passed on. */
    auto isResumable() const -> bool { return mode_ == Mode::ResumableStream && !lastEventId_.empty(); }
    auto status() const -> unsigned { return status_; }
    /** Empty unless the answer is a stream. */
    auto streamFigures() const -> std::optional<StreamFigures>;
    /** Of a resumable stream: the id of the last event passed on; empty if there is none. */
    auto lastEventId() const -> const std::string& { return lastEventId_; }

private:
    auto isStream() const -> bool { return mode_ == Mode::Stream || mode_ == Mode::ResumableStream; }
    auto completeEvents(std::string_view bytes) -> std::string;
    /** Whether the block may follow on the last event passed on. */
    auto follows(std::string_view block) const -> bool;
    auto framed(std::string_view body) -> std::string;

    Mode mode_;
    platform::ResponseHeader header_;
    bool isHead_;
    bool lastAnswer_;
    unsigned status_;
    /**
     * Content-Length to send: the upstream's, or the size of a buffered answer. Unset for chunked answers,
     * such as resumable streams, of which not every byte is passed on unchanged.
     */
    std::optional<std::uint64_t> length_;
    std::string pending_;
    EventBoundary boundary_;
    /** Number of events of the engines before the current one. */
    std::uint64_t eventsBefore_ = 0;
    std::uint64_t received_ = 0;
    std::string lastEventId_;
    bool begun_ = false;
    bool resumed_ = false;
    bool foreign_ = false;
};

} // namespace camphorshunt::router
