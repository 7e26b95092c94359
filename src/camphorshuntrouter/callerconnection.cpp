#include "callerconnection.h"

#include <algorithm>
#include <utility>

#include <boost/beast/http/error.hpp>

#include "clock.h"
#include "exchange.h"
#include "relay.h"
#include "socketoptions.h"

#include "platform/callerwire.h"

namespace camphorshunt::router {

namespace {

namespace http = boost::beast::http;

/** Limit, in bytes, of later requests that are buffered while one is in progress. */
constexpr auto maxReadAhead = std::size_t { 64 } * 1024;
/** Output, in bytes, above which a caller counts as congested, and below which it no longer does. */
constexpr auto maxOutput = std::size_t { 256 } * 1024;
constexpr auto resumedOutput = std::size_t { 64 } * 1024;
/** A caller that takes no byte of its answer for the idle timeout, or at least this long, has failed. */
constexpr auto minStallTime = std::chrono::milliseconds(5000);
/** Output of a connection, in bytes, beyond which a caller's receive buffer may be full: the kernel then
 * waits for the caller as long as this router does.
 */
constexpr auto maxBufferedByCaller = std::size_t { 64 } * 1024;
/** Time a caller has to close its end after the last answer was handed over; then the connection is closed.
 */
constexpr auto lingerTime = Duration(std::chrono::milliseconds(1000));

struct Refusal {
    unsigned status;
    std::string_view reason;
};

auto refusalOf(const boost::beast::error_code& error) -> Refusal
{
    if (error == http::error::header_limit)
        return { 431, "the header is too long" };
    if (error == http::error::body_limit)
        return { 413, "the body is too long" };
    return { 400, "the request is malformed" };
}

} // namespace

CallerConnection::CallerConnection(Socket socket, Relay& relay)
    : socket_(std::move(socket))
    , relay_(relay)
    , number_(relay.nextCallerNumber())
{
}

CallerConnection::~CallerConnection() = default;

auto CallerConnection::start() -> void
{
    setConnectionOptions(socket_);
    auto ignored = boost::system::error_code {};
    socket_.non_blocking(true, ignored);
    waitingSince_ = steadyNow();
    awaitInput();
}

auto CallerConnection::awaitInput() -> void
{
    const auto hasRoom = input_.size() < maxReadAhead || (!exchange_ && !isCongested());
    if (!open_ || readPending_ || !hasRoom)
        return;
    readPending_ = true;
    socket_.async_wait(
        Socket::wait_read, [self = shared_from_this()](const boost::system::error_code& error) {
            self->readPending_ = false;
            if (self->open_ && !error)
                self->readReady();
        });
}

auto CallerConnection::readReady() -> void
{
    const auto buffer = relay_.readBuffer();
    auto error = boost::system::error_code {};
    // Reads until the socket is empty, since a disconnect may follow directly on a request.
    do {
        const auto size = socket_.read_some(boost::asio::buffer(buffer.data(), buffer.size()), error);
        if (!closing_)
            input_.append(buffer.data(), size);
        if (size > 0)
            inputAt_ = steadyNow();
    } while (!error && !closing_ && input_.size() < maxReadAhead);
    if (error && error != boost::asio::error::would_block) {
        close();
        return;
    }
    if (!exchange_ && !closing_)
        parse();
    account();
    awaitInput();
}

auto CallerConnection::beginRequest() -> void
{
    const auto& limits = relay_.limits();
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser_->body_limit(limits.bodyBytes);
    parser_->eager(true);
    continueSent_ = false;
    consumed_ = 0;
    waitingSince_ = steadyNow();
}

auto CallerConnection::parse() -> void
{
    while (open_ && !exchange_ && !closing_ && !input_.empty() && !isCongested()) {
        if (!parser_)
            beginRequest();
        auto error = boost::beast::error_code {};
        const auto used = parser_->put(boost::asio::buffer(input_), error);
        input_.erase(0, used);
        consumed_ += used;
        if (error && error != http::error::need_more) {
            const auto refusal = refusalOf(error);
            refuse(refusal.status, refusal.reason);
            return;
        }
        if (!parser_->is_done()) {
            if (parser_->is_header_done() && !continueSent_
                && parser_->get().find(http::field::expect) != parser_->get().end()) {
                continueSent_ = true;
                write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            if (refuseExcess())
                return;
            if (used == 0 || input_.empty()) {
                // Of many bodies that stop arriving, only what belongs to them is kept.
                input_.shrink_to_fit();
                return;
            }
            continue;
        }
        const auto keepAlive = parser_->keep_alive();
        auto request = parser_->release();
        parser_.reset();
        input_.shrink_to_fit();
        ++requests_;
        exchange_ = Exchange::create(relay_, *this, std::move(request), keepAlive);
        const auto exchange = exchange_;
        exchange->start();
    }
}

auto CallerConnection::refuse(unsigned status, std::string_view reason) -> void
{
    relay_.log(LogLevel::Warning, "request-malformed",
        { { "status", std::to_string(status) }, { "reason", std::string(reason) } });
    write(platform::writeRouterAnswer({ status, {}, reason, {}, true }));
    closeGracefully();
}

auto CallerConnection::write(std::string bytes) -> void
{
    if (!open_)
        return;
    if (written_ <= maxBufferedByCaller && written_ + bytes.size() > maxBufferedByCaller)
        setUnacknowledgedLimit(socket_, minStallTime);
    written_ += bytes.size();
    if (output_.empty()) {
        output_ = std::move(bytes);
        outputProgressAt_ = steadyNow();
    } else {
        output_ += bytes;
    }
    if (!writePending_)
        flush();
    account();
}

auto CallerConnection::flush() -> void
{
    auto error = boost::system::error_code {};
    auto written = std::size_t { 0 };
    while (written < output_.size() && !error)
        written += socket_.write_some(
            boost::asio::buffer(output_.data() + written, output_.size() - written), error);
    if (written > 0)
        outputProgressAt_ = steadyNow();
    output_.erase(0, written);
    if (output_.size() < output_.capacity() / 2)
        output_.shrink_to_fit();
    if (error && error != boost::asio::error::would_block) {
        // The pending wait for input then fails and notifies the exchange.
        output_.clear();
        auto ignored = boost::system::error_code {};
        socket_.shutdown(Socket::shutdown_both, ignored);
        return;
    }
    if (output_.empty()) {
        if (closing_)
            shutDown();
        return;
    }
    writePending_ = true;
    socket_.async_wait(
        Socket::wait_write, [self = shared_from_this()](const boost::system::error_code& waitError) {
            self->writePending_ = false;
            if (!self->open_ || waitError)
                return;
            self->flush();
            self->outputTaken();
        });
}

auto CallerConnection::outputTaken() -> void
{
    account();
    if (!open_ || output_.size() > resumedOutput)
        return;
    if (exchange_) {
        exchange_->onCallerReady();
    } else if (!closing_) {
        if (output_.empty() && !hasInput())
            waitingSince_ = steadyNow();
        parse();
    }
    awaitInput();
}

auto CallerConnection::finishAnswer(bool keep) -> void
{
    const auto self = shared_from_this();
    exchange_.reset();
    waitingSince_ = steadyNow();
    account();
    if (!keep) {
        closeGracefully();
        return;
    }
    // Posted, so that the next request is not started from inside the exchange that is ending.
    if (!input_.empty()) {
        boost::asio::post(socket_.get_executor(), [self] {
            if (!self->open_ || self->exchange_)
                return;
            self->parse();
            self->awaitInput();
        });
    }
}

auto CallerConnection::abort() -> void
{
    exchange_.reset();
    reset();
}

auto CallerConnection::reset() -> void
{
    // After a normal close, an answer that ends with its connection would look complete.
    auto ignored = boost::system::error_code {};
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

auto CallerConnection::stop() -> void
{
    if (const auto exchange = exchange_)
        exchange->abandon("the router shuts down");
    if (!open_)
        return;
    if (isUnfinished())
        abort();
    else
        close();
}

auto CallerConnection::closeGracefully() -> void
{
    closing_ = true;
    input_ = {};
    parser_.reset();
    account();
    if (output_.empty())
        shutDown();
}

auto CallerConnection::shutDown() -> void
{
    waitingSince_ = steadyNow();
    auto ignored = boost::system::error_code {};
    socket_.shutdown(Socket::shutdown_send, ignored);
}

auto CallerConnection::close() -> void
{
    if (!std::exchange(open_, false))
        return;
    auto ignored = boost::system::error_code {};
    socket_.close(ignored);
    if (const auto exchange = std::exchange(exchange_, nullptr))
        exchange->onCallerDisconnected();
    relay_.removeCaller(*this);
}

auto CallerConnection::staysOpen() const -> bool
{
    return !shed_ && (relay_.keepsCallersAlive() || hasInput());
}

auto CallerConnection::isCongested() const -> bool
{
    return output_.size() > maxOutput && output_.size() > relay_.callerMemory().outputAllowance(maxOutput);
}

auto CallerConnection::isUnfinished() const -> bool
{
    return exchange_ || !output_.empty() || (!closing_ && unreadBytes() > 0);
}

auto CallerConnection::unreadBytes() const -> std::size_t
{
    auto ignored = boost::system::error_code {};
    return socket_.available(ignored);
}

auto CallerConnection::logLoss(std::string_view reason) -> void
{
    const auto unread = unreadBytes();
    if (unread == 0 && output_.empty())
        return;
    relay_.log(LogLevel::Warning, "caller-closed",
        { { "reason", std::string(reason) }, { "unread-bytes", std::to_string(unread) },
            { "unsent-bytes", std::to_string(output_.size()) } });
}

auto CallerConnection::closeUnread() -> bool
{
    if (unreadBytes() > 0)
        return false;
    close();
    return true;
}

auto CallerConnection::closeIfIdle() -> void
{
    if (!open_ || closing_ || hasInput() || isUnfinished())
        return;
    closeGracefully();
}

auto CallerConnection::checkTimes(Time now) -> void
{
    if (!open_)
        return;
    const auto self = shared_from_this();
    const auto& limits = relay_.limits();
    if (!output_.empty()) {
        if (now - outputProgressAt_ > std::max<Duration>(limits.idleTimeout, minStallTime)) {
            logLoss("the caller takes no more bytes");
            reset();
        }
        return;
    }
    if (exchange_)
        return;
    const auto waited = now - waitingSince_;
    if (closing_) {
        if (waited > lingerTime) {
            logLoss("the caller did not close its end");
            close();
        }
        return;
    }
    // A body may take as long as the idle timeout; a header has a timeout of its own.
    const auto readsHeader = hasInput() && !(parser_ && parser_->is_header_done());
    // Bytes that have arrived are handled first: they may complete a request.
    if (waited <= (readsHeader ? limits.headerTimeout : limits.idleTimeout) || unreadBytes() > 0)
        return;
    if (hasInput()) {
        refuse(408, "the request took too long to arrive");
        return;
    }
    closeGracefully();
}

} // namespace camphorshunt::router
