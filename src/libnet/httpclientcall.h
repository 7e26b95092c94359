#pragma once

#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "httpclient.h"
#include "httpidlepool.h"

namespace camphorshunt::net {

/**
 * One request on one connection. Reads the answer while the request is still being written, so that
 * an early refusal of a long body is received.
 */
class HttpClientCall : public HttpCall, public std::enable_shared_from_this<HttpClientCall> {
public:
    HttpClientCall(boost::asio::io_context& context, std::shared_ptr<HttpIdlePool> pool, HttpCallSpec spec,
        HttpCallHandlers handlers);

    auto begin() -> void;
    auto cancel() -> void override;
    auto pause() -> void override;
    auto resume() -> void override;
    auto discardConnection() -> void override { reusable_ = false; }
    /** Closes the connection without calling the handlers again. */
    auto drop() -> void;

private:
    /** A chunk's extension or a trailer is unparsed until all of it has arrived. */
    static constexpr auto maxUnparsedBytes = std::size_t { 64 } * 1024;
    static constexpr auto maxInterimAnswers = 32U;

    using Message = boost::beast::http::request<boost::beast::http::string_body>;
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    using Socket = boost::asio::ip::tcp::socket;

    auto connect() -> void;
    auto connected(const boost::system::error_code& error) -> void;
    auto send() -> void;
    auto readHead() -> void;
    auto headArrived(const boost::system::error_code& error) -> void;
    auto readBody() -> void;
    auto bodyArrived(const boost::system::error_code& error) -> void;
    auto deliver() -> void;
    auto complete() -> void;
    auto end(HttpCallEnd result) -> void;
    auto startTotalTimer() -> void;
    auto stopTimer() -> void;
    auto startTimer(std::chrono::milliseconds delay, HttpCallEnd result) -> void;

    boost::asio::io_context& context_;
    std::shared_ptr<HttpIdlePool> pool_;
    HttpCallSpec spec_;
    HttpCallHandlers handlers_;
    Socket socket_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer totalTimer_;
    boost::beast::flat_buffer buffer_ { maxUnparsedBytes };
    Message message_;
    std::optional<Parser> parser_;
    unsigned interimAnswers_ = 0;
    bool written_ = false;
    bool reusable_ = true;
    bool paused_ = false;
    bool reading_ = false;
    bool inBody_ = false;
    bool closeDelimited_ = false;
    bool failed_ = false;
    std::uint64_t timerGeneration_ = 0;
    bool ended_ = false;
};

} // namespace camphorshunt::net
