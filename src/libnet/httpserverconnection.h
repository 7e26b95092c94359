#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "httpserver.h"

namespace camphorshunt::net {

class HttpServerConnection;
class HttpServerExchange;

/** State shared by a server and its connections. Outlives the server while a connection exists. */
struct HttpServerState {
    HttpServerLimits limits;
    HttpServer::Handler handler;
    std::unordered_map<HttpServerConnection*, std::weak_ptr<HttpServerConnection>> openConnections;
    std::size_t activeRefusals = 0;
    bool stopping = false;
};

/**
 * One accepted connection: reads a request, passes it to the handler, writes the answer, and repeats.
 * A read is pending also while an answer is written, so that a close by the caller is detected. Bytes
 * of pipelined requests are buffered meanwhile; reading stops at `headerBytes` of them. A caller that
 * closes only its sending side is treated as disconnected.
 */
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection> {
public:
    HttpServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> state);
    ~HttpServerConnection();

    /** Serves requests until the connection is closed. */
    auto start() -> void;
    /** Answers 503 and closes, when the server is at its connection limit. */
    auto refuse() -> void;
    /** Closes immediately when idle, otherwise after the request in progress has been answered. */
    auto closeWhenIdle() -> void;
    auto close() -> void;

    auto isOpen() const -> bool { return socket_.is_open(); }
    auto respond(std::uint16_t status, const HttpHeaders& headers, std::string_view body) -> void;
    auto beginStream(std::uint16_t status, const HttpHeaders& headers, StreamFraming framing) -> void;
    auto write(std::string_view chunk) -> void;
    auto finish() -> void;
    auto abort() -> void;

private:
    struct Output {
        std::string bytes;
        std::size_t payload = 0;
    };

    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    auto awaitBytes() -> void;
    auto bytesArrived(const boost::system::error_code& error, std::size_t size) -> void;
    auto readRequest() -> void;
    auto headerArrived(const boost::system::error_code& error) -> void;
    auto readRequestBody(const boost::system::error_code& error) -> void;
    auto requestArrived(const boost::system::error_code& error) -> void;
    auto readFailed(const boost::system::error_code& error) -> void;
    auto refuseRequest(std::uint16_t status, std::string_view reason) -> void;
    auto queueOutput(std::string bytes, std::size_t payload) -> void;
    auto flush() -> void;
    auto outputWritten(const boost::system::error_code& error) -> void;
    auto answerWritten() -> void;
    auto closeAfterDraining() -> void;
    auto drain() -> void;
    auto startTimer(std::chrono::milliseconds delay, void (HttpServerConnection::*expired)()) -> void;
    auto requestTimedOut() -> void;

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer readTimer_;
    boost::asio::steady_timer writeTimer_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::shared_ptr<HttpServerState> state_;
    std::weak_ptr<HttpServerExchange> exchange_;
    std::deque<Output> queued_;
    std::deque<Output> writing_;
    std::vector<char> discardBuffer_;
    bool refused_ = false;
    bool reading_ = false;
    bool timedOut_ = false;
    bool busy_ = false;
    bool answerEnded_ = false;
    bool keepAlive_ = false;
    bool chunked_ = false;
    bool bodyless_ = false;
    bool isHttp10_ = false;
};

} // namespace camphorshunt::net
