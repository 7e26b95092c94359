#include "httpclientcall.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "httpresponsekind.h"

namespace camphorshunt::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

namespace {

constexpr auto httpVersion = 11U;

auto messageOf(HttpRequest&& request, const Endpoint& endpoint) -> http::request<http::string_body>
{
    auto message = http::request<http::string_body>();
    message.version(httpVersion);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, endpoint.text());
    for (const auto& header : request.headers)
        message.set(header.name, header.value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

auto headOf(const http::response<http::string_body>& message) -> HttpResponseHead
{
    auto head = HttpResponseHead { static_cast<std::uint16_t>(message.result_int()), {} };
    for (const auto& field : message)
        head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return head;
}

} // namespace

HttpClientCall::HttpClientCall(asio::io_context& context, std::shared_ptr<HttpIdlePool> pool,
    HttpCallSpec spec, HttpCallHandlers handlers)
    : context_(context)
    , pool_(std::move(pool))
    , spec_(std::move(spec))
    , handlers_(std::move(handlers))
    , socket_(context)
    , timer_(context)
    , totalTimer_(context)
    , message_(messageOf(std::move(spec_.request), spec_.endpoint))
{
}

auto HttpClientCall::begin() -> void
{
    if (ended_)
        return;
    startTotalTimer();
    auto idle = spec_.freshConnection ? std::nullopt : pool_->tryAcquire(spec_.endpoint);
    if (!idle) {
        connect();
        return;
    }
    socket_ = std::move(*idle);
    send();
}

auto HttpClientCall::cancel() -> void { end(HttpCallEnd::Cancelled); }

auto HttpClientCall::pause() -> void
{
    paused_ = true;
    if (inBody_)
        stopTimer();
}

auto HttpClientCall::resume() -> void
{
    if (!std::exchange(paused_, false) || ended_ || !inBody_)
        return;
    // Posted, so that no handler is called from inside resume().
    asio::post(context_, [self = shared_from_this()] {
        if (!self->ended_ && !self->reading_ && !self->paused_)
            self->deliver();
    });
}

auto HttpClientCall::drop() -> void
{
    ended_ = true;
    handlers_ = {};
    stopTimer();
    totalTimer_.cancel();
    auto ignored = ErrorCode {};
    socket_.close(ignored);
}

auto HttpClientCall::connect() -> void
{
    auto error = ErrorCode {};
    const auto address = asio::ip::make_address(spec_.endpoint.address, error);
    if (error) {
        end(HttpCallEnd::NotSent);
        return;
    }
    startTimer(spec_.connectTimeout, HttpCallEnd::NotSent);
    socket_.async_connect({ address, spec_.endpoint.port },
        [self = shared_from_this()](const ErrorCode& connectError) { self->connected(connectError); });
}

auto HttpClientCall::connected(const ErrorCode& error) -> void
{
    if (ended_)
        return;
    if (error) {
        end(HttpCallEnd::NotSent);
        return;
    }
    auto ignored = ErrorCode {};
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.set_option(asio::socket_base::keep_alive(true), ignored);
    send();
}

auto HttpClientCall::send() -> void
{
    startTimer(spec_.firstByteTimeout, HttpCallEnd::Silent);
    // A failed write makes the read fail too, unless an answer has already arrived.
    http::async_write(socket_, message_,
        [self = shared_from_this()](const ErrorCode& error, std::size_t) { self->written_ = !error; });
    readHead();
}

auto HttpClientCall::readHead() -> void
{
    parser_.emplace();
    parser_->body_limit(spec_.maxBodyBytes);
    if (message_.method() == http::verb::head)
        parser_->skip(true);
    http::async_read_header(socket_, buffer_, *parser_,
        [self = shared_from_this()](const ErrorCode& error, std::size_t) { self->headArrived(error); });
}

auto HttpClientCall::headArrived(const ErrorCode& error) -> void
{
    if (ended_)
        return;
    if (error) {
        end(HttpCallEnd::Broken);
        return;
    }
    const auto kind = kindOf(parser_->get().base());
    if (kind == HttpResponseKind::Interim && ++interimAnswers_ <= maxInterimAnswers) {
        readHead();
        return;
    }
    if (kind != HttpResponseKind::Answer) {
        end(HttpCallEnd::Broken);
        return;
    }
    stopTimer();
    inBody_ = true;
    // A body delimited only by the close of the connection may be truncated without notice.
    closeDelimited_ = parser_->need_eof() && !parser_->is_done();
    // Eager parsing would deliver a chunk only when the next one arrives.
    parser_->eager(false);
    const auto head = headOf(parser_->get());
    // Copied, since the handler may cancel the call, which clears handlers_.
    if (const auto onHead = handlers_.onHead)
        onHead(head);
    if (!ended_ && !paused_)
        deliver();
}

auto HttpClientCall::readBody() -> void
{
    startTimer(spec_.gapTimeout, HttpCallEnd::Silent);
    reading_ = true;
    http::async_read_some(socket_, buffer_, *parser_,
        [self = shared_from_this()](const ErrorCode& error, std::size_t) { self->bodyArrived(error); });
}

auto HttpClientCall::bodyArrived(const ErrorCode& error) -> void
{
    reading_ = false;
    if (ended_)
        return;
    stopTimer();
    failed_ = static_cast<bool>(error);
    if (!paused_)
        deliver();
}

auto HttpClientCall::deliver() -> void
{
    const auto body = std::exchange(parser_->get().body(), {});
    if (!body.empty() && handlers_.onBody) {
        const auto onBody = handlers_.onBody;
        onBody(body);
    }
    if (ended_ || (paused_ && !parser_->is_done()))
        return;
    if (parser_->is_done())
        complete();
    else if (failed_)
        end(HttpCallEnd::Broken);
    else
        readBody();
}

auto HttpClientCall::complete() -> void
{
    const auto keep
        = reusable_ && written_ && !closeDelimited_ && parser_->keep_alive() && buffer_.size() == 0;
    if (keep) {
        stopTimer();
        pool_->put(spec_.endpoint, std::move(socket_));
    }
    end(closeDelimited_ ? HttpCallEnd::Broken : HttpCallEnd::Complete);
}

auto HttpClientCall::end(HttpCallEnd result) -> void
{
    if (ended_)
        return;
    auto onEnd = std::move(handlers_.onEnd);
    drop();
    if (!onEnd)
        return;
    asio::post(context_, [onEnd = std::move(onEnd), result] { onEnd(result); });
}

auto HttpClientCall::stopTimer() -> void
{
    ++timerGeneration_;
    timer_.cancel();
}

auto HttpClientCall::startTotalTimer() -> void
{
    if (spec_.totalTimeout == std::chrono::milliseconds(0))
        return;
    totalTimer_.expires_after(spec_.totalTimeout);
    totalTimer_.async_wait([weak = weak_from_this()](const ErrorCode& error) {
        const auto self = weak.lock();
        if (self && !error)
            self->end(HttpCallEnd::Silent);
    });
}

auto HttpClientCall::startTimer(std::chrono::milliseconds delay, HttpCallEnd result) -> void
{
    timer_.expires_after(delay);
    // A timer that expired just before it was cancelled still reports success; its generation is outdated.
    timer_.async_wait(
        [weak = weak_from_this(), result, generation = ++timerGeneration_](const ErrorCode& error) {
            const auto self = weak.lock();
            if (self && !error && self->timerGeneration_ == generation)
                self->end(result);
        });
}

} // namespace camphorshunt::net
