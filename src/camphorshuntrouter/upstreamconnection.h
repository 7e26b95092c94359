#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>

#include "camphorshunt/time.h"
#include "camphorshunt/upstreamentry.h"

#include "answerend.h"

#include "platform/httpheaders.h"

namespace camphorshunt::router {

/** Receives the events of one answer of an upstream. Each function may close the connection. */
class AnswerListener {
public:
    virtual ~AnswerListener() = default;

    /** No connection could be established, so nothing was sent. */
    virtual auto connectionFailed() -> void = 0;
    /** A connection was established; the request is sent unless this closes the connection. */
    virtual auto connectionOpened() -> void { }
    /** False if the answer belongs to another request: it is skipped, and the next one awaited. */
    virtual auto headArrived(const platform::ResponseHeader& header) -> bool = 0;
    virtual auto bodyArrived(std::string_view bytes) -> void = 0;
    /** The last call for an answer. */
    virtual auto answerEnded(AnswerEnd end) -> void = 0;
};

/** A Beast body type that collects parsed bytes in a string, which the owner empties between reads. */
struct CollectedBody {
    using value_type = std::string;

    // Beast requires this name.
    struct reader { // NOLINT(readability-identifier-naming)
        template <bool IsRequest, typename Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body)
            : body_(body)
        {
        }

        auto init(const boost::optional<std::uint64_t>&, boost::beast::error_code& error) -> void
        {
            error = {};
        }

        template <typename Buffers>
        auto put(const Buffers& buffers, boost::beast::error_code& error) -> std::size_t
        {
            error = {};
            auto size = std::size_t { 0 };
            for (auto next = boost::asio::buffer_sequence_begin(buffers);
                 next != boost::asio::buffer_sequence_end(buffers); ++next) {
                const auto part = boost::asio::const_buffer(*next);
                body_.append(static_cast<const char*>(part.data()), part.size());
                size += part.size();
            }
            return size;
        }

        auto finish(boost::beast::error_code& error) -> void { error = {}; }

    private:
        value_type& body_;
    };
};

/**
 * A connection to one upstream, with one request on it at a time. Unless paused, a read is always pending, so
 * that the connection is closed if the upstream closes it, or sends bytes, while it is idle.
 */
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    using Tcp = boost::asio::ip::tcp;

    UpstreamConnection(boost::asio::io_context& context, const UpstreamEntry& entry);

    /** Connects, then sends. The listener must exist until the answer's last call or `close`. */
    auto dial(std::string request, bool isHead, AnswerListener& listener) -> void;
    /** Sends on a connection that is open and idle; the listener must exist as with `dial`. */
    auto send(std::string request, bool isHead, AnswerListener& listener) -> void;
    /** Calls another listener from now on, for the same answer. */
    auto setListener(AnswerListener& listener) -> void { listener_ = &listener; }
    /** Closes the connection; the listener is not called any more. */
    auto close() -> void;

    /** Stops reading the answer, until `resumeReading` or the end of what was read already. */
    auto pauseReading() -> void { paused_ = true; }
    auto resumeReading() -> void;

    /** Bytes of the request that have not been handed over yet, also those before them. */
    auto unsentBytes() const -> std::size_t { return output_.size(); }
    auto isOpen() const -> bool { return open_; }
    /** Idle after a complete answer, and the upstream keeps the connection open. */
    auto isReusable() const -> bool { return open_ && listener_ == nullptr && reusable_; }
    auto isConnected() const -> bool { return connected_; }
    /** Why the last answer counts as broken, for the log; empty unless it does. */
    auto fault() const -> std::string_view { return fault_; }
    /** No other answer can have been sent here: the request is the first one, and no answer was skipped. */
    auto isFirstAnswer() const -> bool { return requests_ == 1 && skippedAnswers_ == 0; }
    auto upstream() const -> UpstreamId { return upstream_; }
    auto idleUntil() const -> Time { return idleUntil_; }
    auto setIdleUntil(Time time) -> void { idleUntil_ = time; }

private:
    using Parser = boost::beast::http::response_parser<CollectedBody>;

    auto connected(const boost::system::error_code& error) -> void;
    auto write() -> void;
    /** Goes on with a write for which the socket had no room. */
    auto writeReady() -> void;
    auto read() -> void;
    auto readDone(const boost::system::error_code& error, std::size_t size) -> void;
    auto handleBytes(std::string_view bytes) -> void;
    /** Decides whether an answer that the connection's end or failure ends is complete. */
    auto endOfConnection(const boost::system::error_code& error) -> AnswerEnd;
    auto parse(std::string_view bytes) -> std::size_t;
    /** Whether the head that has just arrived is that of an answer; skips an interim response. */
    auto acceptHead() -> bool;
    auto notifyListener() -> bool;
    auto endAnswer(AnswerEnd end) -> void;
    auto beginAnswer() -> void;
    auto beginParser() -> void;
    auto skipMismatched() -> bool;
    /** `bytes`: of the body of a skipped answer; zero for its end. */
    auto countSkipped(std::size_t bytes) -> void;

    Tcp::socket socket_;
    Tcp::endpoint remote_;
    UpstreamId upstream_;
    AnswerListener* listener_ = nullptr;
    std::string output_;
    std::size_t written_ = 0;
    std::array<char, 2048> input_ {};
    /** Received bytes that the parser has not consumed yet. */
    std::string pending_;
    std::optional<Parser> parser_;
    std::uint64_t requests_ = 0;
    unsigned skippedAnswers_ = 0;
    std::size_t skippedBytes_ = 0;
    Time idleUntil_ {};
    bool open_ = true;
    bool connected_ = false;
    bool paused_ = false;
    bool readPending_ = false;
    bool isHead_ = false;
    bool headAccepted_ = false;
    bool headReported_ = false;
    bool mismatched_ = false;
    bool reusable_ = false;
    /** The upstream has closed its side in order, though bytes of it may be unread. */
    bool inputEnded_ = false;
    /** The connection's error, if a write has met it first, so that no read reports it. */
    boost::system::error_code writeError_;
    /** What is wrong with the answer; empty unless it is broken. */
    std::string fault_;
};

} // namespace camphorshunt::router
