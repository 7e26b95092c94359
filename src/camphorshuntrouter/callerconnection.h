#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "camphorshunt/time.h"

namespace camphorshunt::router {

class Exchange;
class Relay;

/**
 * A caller's connection: reads one request at a time and writes its answer. It always waits for bytes, so
 * that a caller that leaves is noticed while its request is in progress. Idle connections are many and hold
 * no buffer.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    using Socket = boost::asio::ip::tcp::socket;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    CallerConnection(Socket socket, Relay& relay);
    ~CallerConnection();
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection(CallerConnection&&) = delete;
    auto operator=(const CallerConnection&) -> CallerConnection& = delete;
    auto operator=(CallerConnection&&) -> CallerConnection& = delete;

    auto start() -> void;
    /** Ends connections that are idle, or slow to send a request, for longer than the limits say. */
    auto checkTimes(Time now) -> void;

    // For the exchange.
    auto write(std::string bytes) -> void;
    /** The answer is whole; `keep` is false if its head said that the connection ends. */
    auto finishAnswer(bool keep) -> void;
    /** Ends the connection so that the caller sees the answer cut. */
    auto abort() -> void;

    auto isOpen() const -> bool { return open_; }
    /** Some of a request has come. */
    auto hasInput() const -> bool { return !input_.empty() || (parser_ && parser_->got_some()); }
    auto closeIfIdle() -> void;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    auto read() -> void;
    auto readReady() -> void;
    auto parse() -> void;
    auto beginRequest() -> void;
    auto refuse(unsigned status, std::string_view reason) -> void;
    auto flush() -> void;
    auto close() -> void;
    auto closeGracefully() -> void;

    Socket socket_;
    Relay& relay_;
    std::string input_;
    std::string output_;
    std::optional<Parser> parser_;
    std::shared_ptr<Exchange> exchange_;
    /** When the connection became idle, or the first byte of a request came. */
    Time waitingSince_ {};
    bool open_ = true;
    bool writePending_ = false;
    bool closing_ = false;
    bool continueSent_ = false;
    bool keepAlive_ = true;
};

} // namespace camphorshunt::router
