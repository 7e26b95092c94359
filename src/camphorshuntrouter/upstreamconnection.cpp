#include "upstreamconnection.h"

#include <utility>

#include "httpresponsekind.h"
#include "socketinput.h"
#include "socketoptions.h"

namespace camphorshunt::router {

namespace {

namespace http = boost::beast::http;

/** In bytes. */
constexpr auto headerLimit = std::uint32_t { 64 } * 1024;
/** Bytes of an answer that the parser can't consume yet, as of a chunk's size; beyond this it never will. */
constexpr auto maxPendingBytes = std::size_t { headerLimit };
/** Interim responses, answers to other requests and bytes of these that are skipped before an answer. */
constexpr auto maxSkippedAnswers = 8U;
constexpr auto maxSkippedBytes = std::size_t { 1024 } * 1024;

} // namespace

UpstreamConnection::UpstreamConnection(boost::asio::io_context& context, const UpstreamEntry& entry)
    : socket_(context)
    , upstream_(entry.id())
{
    auto code = boost::system::error_code {};
    remote_ = { boost::asio::ip::make_address(entry.endpoint.address, code), entry.endpoint.port };
}

auto UpstreamConnection::dial(std::string request, bool isHead, AnswerListener& listener) -> void
{
    listener_ = &listener;
    output_ = std::move(request);
    isHead_ = isHead;
    socket_.async_connect(remote_,
        [self = shared_from_this()](const boost::system::error_code& error) { self->connected(error); });
}

auto UpstreamConnection::connected(const boost::system::error_code& error) -> void
{
    if (!open_)
        return;
    if (error) {
        auto* const listener = listener_;
        close();
        listener->connectionFailed();
        return;
    }
    connected_ = true;
    listener_->connectionOpened();
    if (!open_)
        return;
    setConnectionOptions(socket_);
    auto ignored = boost::system::error_code {};
    socket_.non_blocking(true, ignored);
    beginAnswer();
    read();
}

auto UpstreamConnection::send(std::string request, bool isHead, AnswerListener& listener) -> void
{
    listener_ = &listener;
    output_ = std::move(request);
    isHead_ = isHead;
    beginAnswer();
}

auto UpstreamConnection::beginAnswer() -> void
{
    ++requests_;
    written_ = 0;
    reusable_ = false;
    skippedAnswers_ = 0;
    skippedBytes_ = 0;
    fault_.clear();
    beginParser();
    write();
}

auto UpstreamConnection::beginParser() -> void
{
    headAccepted_ = false;
    headReported_ = false;
    mismatched_ = false;
    parser_.emplace();
    parser_->header_limit(headerLimit);
    parser_->body_limit(boost::none);
    parser_->eager(true);
    if (isHead_)
        parser_->skip(true);
}

auto UpstreamConnection::close() -> void
{
    listener_ = nullptr;
    if (!std::exchange(open_, false))
        return;
    auto ignored = boost::system::error_code {};
    socket_.close(ignored);
}

auto UpstreamConnection::write() -> void
{
    auto error = boost::system::error_code {};
    while (written_ < output_.size()) {
        const auto rest = boost::asio::buffer(output_.data() + written_, output_.size() - written_);
        const auto size = socket_.write_some(rest, error);
        if (error)
            break;
        written_ += size;
    }
    if (written_ == output_.size()) {
        output_.clear();
        output_.shrink_to_fit();
        written_ = 0;
        return;
    }
    if (error == boost::asio::error::would_block) {
        socket_.async_wait(
            Tcp::socket::wait_write, [self = shared_from_this()](const boost::system::error_code& waitError) {
                if (self->open_ && !waitError)
                    self->writeReady();
            });
        return;
    }
    // The kernel reports the error of a connection to one call only. A read after this write gets the bytes
    // that have arrived and then an end of file, as after an orderly close. EPIPE means that the upstream had
    // closed its side in order before the connection failed.
    if (!inputEnded_ && error != boost::asio::error::broken_pipe)
        writeError_ = error;
}

auto UpstreamConnection::writeReady() -> void
{
    const auto input = inputOf(socket_);
    // Leaves the error to the read, which gets it only if the upstream had not closed its side in order.
    if (input.failed)
        return;
    inputEnded_ = input.ended;
    write();
}

auto UpstreamConnection::resumeReading() -> void
{
    paused_ = false;
    if (open_ && connected_)
        read();
}

auto UpstreamConnection::read() -> void
{
    if (paused_ || std::exchange(readPending_, true))
        return;
    socket_.async_read_some(boost::asio::buffer(input_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
            self->readPending_ = false;
            if (self->open_)
                self->readDone(error, size);
        });
}

auto UpstreamConnection::readDone(const boost::system::error_code& error, std::size_t size) -> void
{
    const auto self = shared_from_this();
    if (listener_ == nullptr) {
        close();
        return;
    }
    if (!error) {
        handleBytes({ input_.data(), size });
        if (open_)
            read();
        return;
    }
    const auto end = endOfConnection(error);
    if (open_ && notifyListener())
        endAnswer(end);
}

auto UpstreamConnection::endOfConnection(const boost::system::error_code& error) -> AnswerEnd
{
    if (error != boost::asio::error::eof) {
        fault_ = "the connection failed: " + error.message();
    } else if (writeError_) {
        fault_ = "the connection failed during the request: " + writeError_.message();
    } else if (!headAccepted_) {
        fault_ = "the connection ended before the answer's head was complete";
    } else if (mismatched_) {
        fault_ = "the connection ended after an answer to another request";
    } else {
        auto incomplete = boost::beast::error_code {};
        parser_->put_eof(incomplete);
        if (incomplete || !parser_->is_done())
            fault_ = "the connection ended inside the body";
    }
    return fault_.empty() ? AnswerEnd::Connection : AnswerEnd::Broken;
}

auto UpstreamConnection::handleBytes(std::string_view bytes) -> void
{
    if (!pending_.empty()) {
        pending_ += bytes;
        bytes = pending_;
    }
    auto answered = false;
    do {
        bytes.remove_prefix(parse(bytes));
        if (!notifyListener())
            return;
        answered = parser_->is_done() && fault_.empty();
    } while (answered && skipMismatched());
    answered = answered && fault_.empty();
    pending_ = std::string(bytes);
    if (!answered && fault_.empty() && pending_.size() > maxPendingBytes)
        fault_ = "a header line or a chunk's head exceeds the size limit";
    if (!fault_.empty())
        endAnswer(AnswerEnd::Broken);
    else if (answered)
        endAnswer(AnswerEnd::Framed);
}

/** After an answer to another request, prepares for the next one; false if it was for this request. */
auto UpstreamConnection::skipMismatched() -> bool
{
    if (!mismatched_)
        return false;
    countSkipped(0);
    beginParser();
    return fault_.empty();
}

/** An upstream that only sends what is no answer to the request counts as broken. */
auto UpstreamConnection::countSkipped(std::size_t bytes) -> void
{
    if (bytes == 0)
        ++skippedAnswers_;
    skippedBytes_ += bytes;
    if (skippedAnswers_ > maxSkippedAnswers || skippedBytes_ > maxSkippedBytes)
        fault_ = "too many interim responses or answers to other requests";
}

auto UpstreamConnection::parse(std::string_view bytes) -> std::size_t
{
    auto used = std::size_t { 0 };
    while (used < bytes.size() && !parser_->is_done()) {
        auto error = boost::beast::error_code {};
        const auto size = parser_->put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
        used += size;
        const auto isNewHead = parser_->is_header_done() && !headAccepted_;
        if (isNewHead && !acceptHead()) {
            if (!fault_.empty())
                break;
            continue;
        }
        if (error && error != http::error::need_more) {
            fault_ = "the answer is malformed: " + error.message();
            break;
        }
        if (size == 0)
            break;
    }
    return used;
}

auto UpstreamConnection::acceptHead() -> bool
{
    const auto& head = parser_->get().base();
    switch (net::kindOf(head)) {
    case net::HttpResponseKind::Answer:
        headAccepted_ = true;
        return true;
    case net::HttpResponseKind::Interim:
        countSkipped(0);
        if (fault_.empty())
            beginParser();
        break;
    case net::HttpResponseKind::InvalidStatus:
        fault_ = "the answer's status is invalid: " + std::to_string(head.result_int());
        break;
    case net::HttpResponseKind::UnknownCoding:
        fault_ = "the answer has a transfer coding other than chunked";
        break;
    }
    return false;
}

/** Passes parsed bytes to the listener; false if the listener has closed the connection. */
auto UpstreamConnection::notifyListener() -> bool
{
    if (listener_ != nullptr && !headReported_ && headAccepted_) {
        headReported_ = true;
        mismatched_ = !listener_->headArrived(parser_->get().base());
    }
    if (listener_ != nullptr && headReported_ && !parser_->get().body().empty()) {
        const auto body = std::exchange(parser_->get().body(), {});
        if (mismatched_)
            countSkipped(body.size());
        else
            listener_->bodyArrived(body);
    }
    return listener_ != nullptr;
}

auto UpstreamConnection::endAnswer(AnswerEnd end) -> void
{
    reusable_ = end == AnswerEnd::Framed && output_.empty() && pending_.empty() && parser_->keep_alive()
        && !parser_->need_eof();
    paused_ = false;
    auto* const listener = std::exchange(listener_, nullptr);
    if (!reusable_)
        close();
    listener->answerEnded(end);
}

} // namespace camphorshunt::router
