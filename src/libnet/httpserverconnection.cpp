#include "httpserverconnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include "httpresponsetext.h"
#include "httpserverexchange.h"

namespace camphorshunt::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

namespace {

constexpr auto readAhead = std::size_t { 4096 };
/** Bytes that Beast reads at a time, at most. */
constexpr auto readAtOnce = std::size_t { 64 } * 1024;
constexpr auto drainTimeout = std::chrono::milliseconds(1000);
constexpr auto statusBadRequest = std::uint16_t { 400 };
constexpr auto statusTimeout = std::uint16_t { 408 };
constexpr auto statusBodyTooLarge = std::uint16_t { 413 };
constexpr auto statusHeaderTooLarge = std::uint16_t { 431 };
constexpr auto statusUnavailable = std::uint16_t { 503 };
constexpr auto http10Version = 10U;
constexpr std::string_view continueText = "HTTP/1.1 100 Continue\r\n\r\n";

auto requestOf(http::request<http::string_body>&& message) -> HttpRequest
{
    auto request = HttpRequest { .method = std::string(message.method_string()),
        .target = std::string(message.target()),
        .headers = {},
        .body = std::move(message.body()) };
    for (const auto& field : message)
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return request;
}

} // namespace

HttpServerConnection::HttpServerConnection(
    asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> state)
    : socket_(std::move(socket))
    , readTimer_(socket_.get_executor())
    , writeTimer_(socket_.get_executor())
    , state_(std::move(state))
{
    // Chunk sizes with their extensions, and trailers, stay in the buffer until they are complete.
    buffer_.max_size(state_->limits.headerBytes + readAtOnce);
    auto ignored = ErrorCode {};
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);
}

HttpServerConnection::~HttpServerConnection()
{
    state_->openConnections.erase(this);
    if (refused_)
        --state_->activeRefusals;
}

auto HttpServerConnection::start() -> void
{
    state_->openConnections.emplace(this, weak_from_this());
    startTimer(state_->limits.idleTimeout, &HttpServerConnection::close);
    awaitBytes();
}

auto HttpServerConnection::refuse() -> void
{
    refused_ = true;
    ++state_->activeRefusals;
    refuseRequest(statusUnavailable, "connection-limit");
}

auto HttpServerConnection::closeWhenIdle() -> void
{
    keepAlive_ = false;
    if (!busy_ && !parser_)
        close();
}

auto HttpServerConnection::close() -> void
{
    auto ignored = ErrorCode {};
    readTimer_.cancel();
    writeTimer_.cancel();
    socket_.close(ignored);
    state_->openConnections.erase(this);
    if (const auto exchange = exchange_.lock()) {
        exchange_.reset();
        exchange->notifyDisconnected();
    }
}

auto HttpServerConnection::awaitBytes() -> void
{
    if (reading_ || !socket_.is_open())
        return;
    reading_ = true;
    socket_.async_read_some(
        buffer_.prepare(readAhead), [self = shared_from_this()](const ErrorCode& error, std::size_t size) {
            self->reading_ = false;
            self->bytesArrived(error, size);
        });
}

auto HttpServerConnection::bytesArrived(const ErrorCode& error, std::size_t size) -> void
{
    const auto watchCancelled = error == asio::error::operation_aborted && !busy_ && buffer_.size() > 0;
    if (error && !watchCancelled) {
        close();
        return;
    }
    buffer_.commit(size);
    if (!busy_) {
        readRequest();
        return;
    }
    if (buffer_.size() < state_->limits.headerBytes)
        awaitBytes();
}

auto HttpServerConnection::readRequest() -> void
{
    if (!socket_.is_open())
        return;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(state_->limits.headerBytes));
    parser_->body_limit(state_->limits.bodyBytes);
    startTimer(state_->limits.requestTimeout, &HttpServerConnection::requestTimedOut);
    http::async_read_header(socket_, buffer_, *parser_,
        [self = shared_from_this()](const ErrorCode& error, std::size_t) { self->headerArrived(error); });
}

auto HttpServerConnection::headerArrived(const ErrorCode& error) -> void
{
    if (error || timedOut_) {
        readFailed(error);
        return;
    }
    if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
        readRequestBody({});
        return;
    }
    asio::async_write(socket_, asio::buffer(continueText),
        [self = shared_from_this()](
            const ErrorCode& writeError, std::size_t) { self->readRequestBody(writeError); });
}

auto HttpServerConnection::readRequestBody(const ErrorCode& error) -> void
{
    if (error) {
        close();
        return;
    }
    if (parser_->is_done()) {
        requestArrived({});
        return;
    }
    http::async_read(
        socket_, buffer_, *parser_, [self = shared_from_this()](const ErrorCode& readError, std::size_t) {
            self->requestArrived(readError);
        });
}

auto HttpServerConnection::requestArrived(const ErrorCode& error) -> void
{
    if (error || timedOut_) {
        readFailed(error);
        return;
    }
    readTimer_.cancel();
    auto message = parser_->release();
    parser_.reset();
    busy_ = true;
    answerEnded_ = false;
    isHttp10_ = message.version() <= http10Version;
    keepAlive_ = message.keep_alive() && !isHttp10_ && !state_->stopping;
    bodyless_ = message.method() == http::verb::head;
    if (!state_->handler) {
        close();
        return;
    }
    const auto exchange = std::make_shared<HttpServerExchange>(shared_from_this());
    exchange_ = exchange;
    awaitBytes();
    state_->handler(requestOf(std::move(message)), exchange);
}

auto HttpServerConnection::readFailed(const ErrorCode& error) -> void
{
    if (timedOut_)
        refuseRequest(statusTimeout, "request-timeout");
    else if (error == http::error::header_limit || error == http::error::buffer_overflow)
        refuseRequest(statusHeaderTooLarge, "header-too-large");
    else if (error == http::error::body_limit)
        refuseRequest(statusBodyTooLarge, "body-too-large");
    else if (error != http::error::end_of_stream && error != http::error::partial_message
        && error.category() == make_error_code(http::error::bad_method).category())
        refuseRequest(statusBadRequest, "malformed-request");
    else
        close();
}

auto HttpServerConnection::refuseRequest(std::uint16_t status, std::string_view reason) -> void
{
    parser_.reset();
    busy_ = true;
    keepAlive_ = false;
    const auto body = R"({"outcome":"not-run","reason":")" + std::string(reason) + "\"}";
    respond(status, { { "Content-Type", "application/json" }, { "Camphorshunt-Outcome", "not-run" } }, body);
}

auto HttpServerConnection::respond(std::uint16_t status, const HttpHeaders& headers, std::string_view body)
    -> void
{
    auto framing = HttpBodyFraming { .contentLength = {}, .chunked = false, .keepAlive = keepAlive_ };
    if (statusHasBody(status))
        framing.contentLength = body.size();
    auto text = responseHeadText(status, headers, framing);
    if (!bodyless_ && statusHasBody(status))
        text.append(body);
    answerEnded_ = true;
    queueOutput(std::move(text), 0);
}

auto HttpServerConnection::beginStream(
    std::uint16_t status, const HttpHeaders& headers, StreamFraming framing) -> void
{
    bodyless_ = bodyless_ || !statusHasBody(status);
    keepAlive_ = keepAlive_ && framing == StreamFraming::Chunks;
    chunked_ = !isHttp10_ && statusHasBody(status) && framing == StreamFraming::Chunks;
    queueOutput(responseHeadText(
                    status, headers, { .contentLength = {}, .chunked = chunked_, .keepAlive = keepAlive_ }),
        0);
}

auto HttpServerConnection::write(std::string_view chunk) -> void
{
    if (bodyless_)
        queueOutput({}, chunk.size());
    else
        queueOutput(chunked_ ? chunkText(chunk) : std::string(chunk), chunk.size());
}

auto HttpServerConnection::finish() -> void
{
    answerEnded_ = true;
    queueOutput(chunked_ && !bodyless_ ? std::string(finalChunkText) : std::string(), 0);
}

auto HttpServerConnection::abort() -> void
{
    if (const auto exchange = exchange_.lock())
        exchange->detach();
    exchange_.reset();
    auto ignored = ErrorCode {};
    // A close marks the end of an HTTP/1.0 body, so only a reset shows that the body is truncated.
    if (isHttp10_ && socket_.is_open())
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

auto HttpServerConnection::queueOutput(std::string bytes, std::size_t payload) -> void
{
    if (!socket_.is_open())
        return;
    queued_.push_back({ std::move(bytes), payload });
    flush();
}

auto HttpServerConnection::flush() -> void
{
    if (!writing_.empty() || queued_.empty())
        return;
    writing_.swap(queued_);
    auto buffers = std::vector<asio::const_buffer>();
    buffers.reserve(writing_.size());
    for (const auto& output : writing_)
        buffers.push_back(asio::buffer(output.bytes));
    writeTimer_.expires_after(state_->limits.writeTimeout);
    writeTimer_.async_wait([weak = weak_from_this()](const ErrorCode& error) {
        const auto self = weak.lock();
        if (self && !error && self->writeTimer_.expiry() <= asio::steady_timer::clock_type::now())
            self->close();
    });
    asio::async_write(socket_, buffers,
        [self = shared_from_this()](const ErrorCode& error, std::size_t) { self->outputWritten(error); });
}

auto HttpServerConnection::outputWritten(const ErrorCode& error) -> void
{
    writeTimer_.cancel();
    if (error || !socket_.is_open()) {
        close();
        return;
    }
    const auto written = std::exchange(writing_, {});
    for (const auto& output : written) {
        const auto exchange = exchange_.lock();
        if (exchange && output.payload > 0)
            exchange->notifyWritten(output.payload);
    }
    if (!socket_.is_open())
        return;
    flush();
    if (answerEnded_ && writing_.empty())
        answerWritten();
}

auto HttpServerConnection::answerWritten() -> void
{
    busy_ = false;
    answerEnded_ = false;
    chunked_ = false;
    if (const auto exchange = exchange_.lock())
        exchange->detach();
    exchange_.reset();
    if (!keepAlive_ || state_->stopping) {
        closeAfterDraining();
        return;
    }
    // Bytes read while the answer was written belong to the next request.
    if (buffer_.size() > 0 && !reading_) {
        readRequest();
        return;
    }
    startTimer(state_->limits.idleTimeout, &HttpServerConnection::close);
    if (buffer_.size() == 0) {
        awaitBytes();
        return;
    }
    auto ignored = ErrorCode {};
    // The pending read only watches for a close. Its cancelled completion starts reading the request.
    socket_.cancel(ignored);
}

auto HttpServerConnection::closeAfterDraining() -> void
{
    // Closing with unread bytes would reset the connection and could discard the answer in flight.
    auto ignored = ErrorCode {};
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    startTimer(drainTimeout, &HttpServerConnection::close);
    busy_ = true;
    if (!reading_)
        drain();
}

auto HttpServerConnection::drain() -> void
{
    discardBuffer_.resize(readAhead);
    socket_.async_read_some(
        asio::buffer(discardBuffer_), [self = shared_from_this()](const ErrorCode& error, std::size_t) {
            if (error)
                self->close();
            else
                self->drain();
        });
}

auto HttpServerConnection::startTimer(
    std::chrono::milliseconds delay, void (HttpServerConnection::*expired)()) -> void
{
    readTimer_.expires_after(delay);
    readTimer_.async_wait([weak = weak_from_this(), expired](const ErrorCode& error) {
        const auto self = weak.lock();
        if (self && !error && self->readTimer_.expiry() <= asio::steady_timer::clock_type::now())
            (self.get()->*expired)();
    });
}

auto HttpServerConnection::requestTimedOut() -> void
{
    if (!parser_)
        return;
    timedOut_ = true;
    auto ignored = ErrorCode {};
    socket_.cancel(ignored);
}

} // namespace camphorshunt::net
