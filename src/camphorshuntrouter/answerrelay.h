#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "platform/httpheaders.h"

namespace camphorshunt::router {

/**
 * Turns an upstream's answer into bytes for the caller. A plain answer is kept until it is whole; a stream
 * is passed on as it comes. Of a resumable stream only whole events are, since another engine may go on after
 * the last one.
 */
class AnswerRelay {
public:
    enum class Mode : std::uint8_t { Buffered, Stream, ResumableStream };

    AnswerRelay(const platform::ResponseHeader& header, Mode mode, bool isHead, bool lastAnswer);

    /** Bytes to write now; empty if there are none yet. */
    auto consume(std::string_view bytes) -> std::string;
    /** Bytes that end a whole answer. */
    auto finish() -> std::string;
    /** The next engine's answer goes on with the same stream; what it says in its head is left out. */
    auto resume() -> void { pending_.clear(); }

    /** Something has been passed on, so that no other answer can be given. */
    auto hasBegun() const -> bool { return begun_; }
    auto status() const -> unsigned { return status_; }
    /** Of a resumable stream: the id of the last event passed on; empty if there is none. */
    auto lastEventId() const -> const std::string& { return lastEventId_; }

private:
    auto completeEvents(std::string_view bytes) -> std::string;
    auto framed(std::string_view body) -> std::string;

    Mode mode_;
    platform::ResponseHeader header_;
    bool isHead_;
    bool lastAnswer_;
    unsigned status_;
    /** Set if the upstream gave a length and all of the body passes through as it is. */
    std::optional<std::uint64_t> length_;
    std::string pending_;
    std::string lastEventId_;
    bool begun_ = false;
};

} // namespace camphorshunt::router
