#include "peerlink.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "framecodec.h"

namespace camphorshunt {

namespace {

using namespace std::chrono_literals;

constexpr auto handshakeTimeout = 2s;
/** A connection that receives no byte for this long is considered dead. */
constexpr auto silenceTimeout = 2s;
/** An empty frame is sent after this long without sending. */
constexpr auto keepAliveTime = 500ms;
constexpr auto checkInterval = 250ms;
/**
 * A longer gap between checks means that this process paused. Bytes that arrived meanwhile are still unread,
 * so the silence is not held against the peer.
 */
constexpr auto maxCheckGap = 1s;
constexpr auto inputBytes = std::size_t { 16 } * 1024;
/** Limit of bytes that wait for the socket; leaves room for one frame of maximum length. */
constexpr auto maxQueuedBytes = 2 * maxFrameBytes;

auto ioError(const boost::system::error_code& code) -> Error
{
    return failure(Error::Code::Io, "connection", code.message());
}

} // namespace

PeerLink::PeerLink(Socket socket, HandshakeRole role, const PeerTransport::Settings& settings,
    PeerTraffic& traffic, Handlers handlers)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , role_(role)
    , key_(settings.sharedKey)
    , traffic_(&traffic)
    , handlers_(std::move(handlers))
    , local_ { settings.name, settings.incarnation, {} }
    , started_(Clock::now())
    , lastRead_(started_)
    , lastWrite_(started_)
    , lastCheck_(started_)
{
}

auto PeerLink::dial(const boost::asio::ip::tcp::endpoint& endpoint) -> void
{
    scheduleCheck();
    socket_.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code& code) {
        if (self->closed_)
            return;
        if (code)
            self->fail(ioError(code));
        else
            self->start();
    });
}

auto PeerLink::start() -> void
{
    auto ignored = boost::system::error_code {};
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const auto challenge = randomChallenge();
    if (!challenge) {
        fail(challenge.error());
        return;
    }
    local_.challenge = challenge.value();
    if (role_ == HandshakeRole::Acceptor)
        scheduleCheck();
    enqueue(encodeHello(local_));
    readExactly(head_, &PeerLink::readName);
}

auto PeerLink::send(std::span<const std::uint8_t> frame) -> void
{
    if (closed_ || !ready_)
        return;
    if (queued_.size() + frame.size() > maxQueuedBytes) {
        fail(failure(Error::Code::Unavailable, "connection",
            "unsent data exceeds the limit of 16 MiB; the peer does not read fast enough"));
        return;
    }
    ++traffic_->framesOut;
    enqueue(frame);
}

auto PeerLink::close() -> void
{
    if (std::exchange(closed_, true))
        return;
    auto ignored = boost::system::error_code {};
    socket_.close(ignored);
    timer_.cancel();
}

auto PeerLink::fail(const Error& error) -> void
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    close();
    handlers_.onClosed(*this, error);
}

auto PeerLink::readExactly(std::span<std::uint8_t> bytes, Step then) -> void
{
    boost::asio::async_read(socket_, boost::asio::buffer(bytes.data(), bytes.size()),
        [self = shared_from_this(), then](const boost::system::error_code& code, std::size_t size) {
            if (self->closed_)
                return;
            self->traffic_->bytesIn += size;
            if (code)
                self->fail(ioError(code));
            else
                (self.get()->*then)();
        });
}

auto PeerLink::readName() -> void
{
    const auto length = decodeHelloHead(head_, remote_);
    if (!length) {
        fail(length.error());
        return;
    }
    remote_.name.resize(length.value());
    readExactly({ reinterpret_cast<std::uint8_t*>(remote_.name.data()), remote_.name.size() },
        &PeerLink::exchangeProofs);
}

auto PeerLink::exchangeProofs() -> void
{
    const auto dialled = role_ == HandshakeRole::Dialler;
    const auto smaller = dialled ? idOf<RouterId>(local_.name) : router();
    const auto greater = dialled ? router() : idOf<RouterId>(local_.name);
    if (smaller >= greater) {
        fail(failure(Error::Code::Unauthorised, "handshake", "only the router with the smaller id may dial"));
        return;
    }
    enqueue(expectedProof(role_));
    readExactly(remoteProof_, &PeerLink::checkProof);
}

auto PeerLink::checkProof() -> void
{
    const auto remoteRole
        = role_ == HandshakeRole::Dialler ? HandshakeRole::Acceptor : HandshakeRole::Dialler;
    if (!sameProof(remoteProof_, expectedProof(remoteRole))) {
        fail(failure(
            Error::Code::Unauthorised, "handshake", "the peer's proof does not match the shared key"));
        return;
    }
    ready_ = true;
    lastRead_ = Clock::now();
    input_.resize(inputBytes);
    handlers_.onReady(*this);
    if (!closed_)
        readFrames();
}

auto PeerLink::expectedProof(HandshakeRole sender) const -> Proof
{
    const auto dialled = role_ == HandshakeRole::Dialler;
    return proveHello(key_, sender, dialled ? local_ : remote_, dialled ? remote_ : local_);
}

auto PeerLink::readFrames() -> void
{
    socket_.async_read_some(boost::asio::buffer(input_),
        [self = shared_from_this()](const boost::system::error_code& code, std::size_t size) {
            if (self->closed_)
                return;
            if (code)
                self->fail(ioError(code));
            else
                self->handleInput(size);
        });
}

auto PeerLink::handleInput(std::size_t size) -> void
{
    traffic_->bytesIn += size;
    lastRead_ = Clock::now();
    reader_.append(std::span(input_).first(size));
    while (!closed_) {
        const auto body = reader_.next();
        if (!body) {
            fail(body.error());
            return;
        }
        if (!body.value())
            break;
        if (body.value()->empty())
            continue;
        auto message = decodeMessage(*body.value());
        if (!message) {
            fail(message.error());
            return;
        }
        ++traffic_->framesIn;
        handlers_.onMessage(*this, std::move(message.value()));
    }
    if (!closed_)
        readFrames();
}

auto PeerLink::enqueue(std::span<const std::uint8_t> bytes) -> void
{
    queued_.insert(queued_.end(), bytes.begin(), bytes.end());
    if (writing_.empty())
        write();
}

auto PeerLink::write() -> void
{
    std::swap(writing_, queued_);
    lastWrite_ = Clock::now();
    boost::asio::async_write(socket_, boost::asio::buffer(writing_),
        [self = shared_from_this()](const boost::system::error_code& code, std::size_t size) {
            if (self->closed_)
                return;
            self->traffic_->bytesOut += size;
            self->writing_.clear();
            if (code)
                self->fail(ioError(code));
            else if (!self->queued_.empty())
                self->write();
        });
}

auto PeerLink::scheduleCheck() -> void
{
    timer_.expires_after(checkInterval);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& code) {
        if (!code && !self->closed_)
            self->checkTimeouts();
    });
}

auto PeerLink::checkTimeouts() -> void
{
    const auto now = Clock::now();
    if (now - std::exchange(lastCheck_, now) > maxCheckGap)
        lastRead_ = now;
    if (!ready_ && now - started_ > handshakeTimeout) {
        fail(failure(Error::Code::Io, "handshake", "not finished within 2 s"));
        return;
    }
    if (ready_ && now - lastRead_ > silenceTimeout) {
        fail(failure(Error::Code::Io, "connection", "no data received for 2 s"));
        return;
    }
    if (ready_ && now - lastWrite_ > keepAliveTime && writing_.empty())
        enqueue(std::array<std::uint8_t, frameHeaderBytes> {});
    scheduleCheck();
}

} // namespace camphorshunt
