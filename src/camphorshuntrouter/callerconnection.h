#pragma once

#include <cstddef>
#include <cstdint>
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
 * A caller's connection: reads one request at a time and writes its answer. It waits for input also while a
 * request is in progress, so that a disconnect is noticed, until the read-ahead limit is reached. Input and
 * output are bounded: a caller that takes no answers is not read either. Idle connections hold no buffer, as
 * there may be many. Used on the relay's thread only.
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
    /** Closes the connection if it was idle, or slow to send a request, for longer than the limits. */
    auto checkTimes(Time now) -> void;

    /** Identifies the connection within this process. */
    auto number() const -> std::uint64_t { return number_; }
    /** Refuses or cuts off what is in progress and closes the connection, as memory is short. */
    auto shed() -> void;
    /** Nothing is in progress. `isUnused`: no request has been received on the connection. */
    auto isIdle() const -> bool { return open_ && !closing_ && !hasInput() && !exchange_ && output_.empty(); }
    auto isUnused() const -> bool { return requests_ == 0; }
    auto waitingSince() const -> Time { return waitingSince_; }
    /** Closes an idle connection at once; false if bytes of a request have arrived. */
    auto closeUnread() -> bool;

    // For the exchange.
    /** Tells the relay how much memory the connection holds. */
    auto account() -> void;
    auto write(std::string bytes) -> void;
    /** The answer is complete; `keep` is false if its head announced that the connection closes. */
    auto finishAnswer(bool keep) -> void;
    /** Resets the connection, so that the caller sees a truncated answer. */
    auto abort() -> void;

    /** Closes the connection at the end of the relay; an answer that is incomplete looks truncated. */
    auto stop() -> void;

    auto isOpen() const -> bool { return open_; }
    /** Part of a request has been received. */
    auto hasInput() const -> bool { return !input_.empty() || (parser_ && parser_->got_some()); }
    /** Whether the connection is kept after an answer that begins now: also if another request has arrived.
     */
    auto staysOpen() const -> bool;
    auto closeIfIdle() -> void;
    /** The caller has taken so little that no more should be written for now. */
    auto isCongested() const -> bool;
    /** A request is in progress or unread, or an answer has not been handed over yet. */
    auto isUnfinished() const -> bool;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /** Waits for input if there is room for it and no wait is pending. */
    auto awaitInput() -> void;
    auto readReady() -> void;
    auto parse() -> void;
    auto beginRequest() -> void;
    auto refuse(unsigned status, std::string_view reason) -> void;
    /** Whether the unread rest or the framing of the request exceeds its limits; refuses it then. */
    auto refuseExcess() -> bool;
    auto heldBytes() const -> std::size_t;
    auto flush() -> void;
    /** Goes on with what waited until the caller took its answers. */
    auto outputTaken() -> void;
    auto close() -> void;
    auto reset() -> void;
    /** Closes the connection once its output has been handed over; no further request is accepted. */
    auto closeGracefully() -> void;
    auto shutDown() -> void;
    /** Bytes that have arrived but were not read. */
    auto unreadBytes() const -> std::size_t;
    /** Logs what is lost with a connection that this router closes, if anything is. */
    auto logLoss(std::string_view reason) -> void;

    Socket socket_;
    Relay& relay_;
    std::uint64_t number_;
    std::string input_;
    std::string output_;
    /** Bytes of output since the connection was accepted. */
    std::size_t written_ = 0;
    std::optional<Parser> parser_;
    /** Bytes of the current request that the parser has consumed. */
    std::size_t consumed_ = 0;
    /** Requests received so far. */
    std::uint64_t requests_ = 0;
    std::shared_ptr<Exchange> exchange_;
    /** When the connection became idle or was shut down, or the first byte of a request was parsed. */
    Time waitingSince_ {};
    /** When the caller last sent bytes. */
    Time inputAt_ {};
    /** When the caller last took bytes of the output, or the output began. */
    Time outputProgressAt_ {};
    bool open_ = true;
    bool readPending_ = false;
    bool writePending_ = false;
    bool closing_ = false;
    bool continueSent_ = false;
    bool shed_ = false;
};

} // namespace camphorshunt::router
