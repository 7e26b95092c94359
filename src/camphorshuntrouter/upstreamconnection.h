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

#include "platform/httpheaders.h"

namespace camphorshunt::router {

/** Hears of one answer of an upstream. Any of these may close the connection. */
class AnswerListener {
public:
    virtual ~AnswerListener() = default;

    /** No connection could be made; nothing was sent. */
    virtual auto connectionFailed() -> void = 0;
    /** False if the answer belongs to another request: it is passed over, and the next one is awaited. */
    virtual auto headArrived(const platform::ResponseHeader& header) -> bool = 0;
    virtual auto bodyArrived(std::string_view bytes) -> void = 0;
    /** `whole`: the answer ended where its framing says so. Nothing follows. */
    virtual auto answerEnded(bool complete) -> void = 0;
};

/** A beast body that collects what was parsed since it was last taken. */
struct CollectedBody {
    using value_type = std::string;

    // The name that Beast asks of a body.
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
 * A connection to one upstream, with one request on it at a time. A read is always pending, so that bytes or
 * a close that belong to no request end the connection.
 */
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    using Tcp = boost::asio::ip::tcp;

    UpstreamConnection(boost::asio::io_context& context, const UpstreamEntry& entry);

    /** Connects, then sends; the listener must stay until it is told of the end, or `close`. */
    auto dial(std::string request, bool isHead, AnswerListener& listener) -> void;
    /** On a connection that is open and idle. */
    auto send(std::string request, bool isHead, AnswerListener& listener) -> void;
    /** No listener is called any more. */
    auto close() -> void;

    auto isOpen() const -> bool { return open_; }
    /** The last answer was whole and nothing speaks against another request. */
    auto isReusable() const -> bool { return open_ && listener_ == nullptr && reusable_; }
    auto isConnected() const -> bool { return connected_; }
    auto upstream() const -> UpstreamId { return upstream_; }
    auto idleUntil() const -> Time { return idleUntil_; }
    auto setIdleUntil(Time time) -> void { idleUntil_ = time; }

private:
    using Parser = boost::beast::http::response_parser<CollectedBody>;

    auto connected(const boost::system::error_code& error) -> void;
    auto write() -> void;
    auto read() -> void;
    auto readDone(const boost::system::error_code& error, std::size_t size) -> void;
    auto handleBytes(std::string_view bytes) -> void;
    auto parse(std::string_view bytes) -> std::size_t;
    auto notifyListener() -> bool;
    auto endAnswer(bool complete) -> void;
    auto beginAnswer() -> void;
    auto beginParser() -> void;
    auto skipMismatched() -> bool;

    Tcp::socket socket_;
    Tcp::endpoint remote_;
    UpstreamId upstream_;
    AnswerListener* listener_ = nullptr;
    std::string output_;
    std::size_t written_ = 0;
    std::array<char, 2048> input_ {};
    /** Bytes that the parser could not use yet. */
    std::string pending_;
    std::optional<Parser> parser_;
    Time idleUntil_ {};
    bool open_ = true;
    bool connected_ = false;
    bool isHead_ = false;
    bool headReported_ = false;
    bool mismatched_ = false;
    bool malformed_ = false;
    bool reusable_ = false;
};

} // namespace camphorshunt::router
