#include "meshlink.h"

#include <utility>

#include <boost/asio/write.hpp>

#include "socketoptions.h"

namespace camphorshunt::router {

namespace {

/** Bytes queued for a peer that does not read; beyond this the connection is closed. */
constexpr auto maxQueuedBytes = std::size_t { 4 } * 1024 * 1024;

} // namespace

MeshLink::MeshLink(Socket socket, bool dialled, Handlers handlers)
    : socket_(std::move(socket))
    , dialled_(dialled)
    , handlers_(std::move(handlers))
{
}

auto MeshLink::dial(const boost::asio::ip::tcp::endpoint& endpoint, const PeerFrame& hello) -> void
{
    socket_.async_connect(
        endpoint, [self = shared_from_this(), hello](const boost::system::error_code& error) {
            if (self->closed_)
                return;
            self->refused_ = error == boost::asio::error::connection_refused;
            if (error)
                self->fail(error.message());
            else
                self->start(hello);
        });
}

auto MeshLink::start(const PeerFrame& hello) -> void
{
    setConnectionOptions(socket_);
    send(hello);
    read();
}

auto MeshLink::send(const PeerFrame& frame) -> void
{
    if (closed_)
        return;
    appendFrame(queued_, encodePeerFrame(frame));
    if (queued_.size() > maxQueuedBytes) {
        fail("send queue exceeds 4 MiB");
        return;
    }
    if (writing_.empty())
        write();
}

auto MeshLink::close() -> void
{
    if (std::exchange(closed_, true))
        return;
    auto ignored = boost::system::error_code {};
    socket_.close(ignored);
}

auto MeshLink::fail(std::string_view reason) -> void
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    close();
    handlers_.onClosed(*this, reason);
}

auto MeshLink::read() -> void
{
    socket_.async_read_some(boost::asio::buffer(input_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t size) {
            if (self->closed_)
                return;
            if (error)
                self->fail(error.message());
            else
                self->handleInput(size);
        });
}

auto MeshLink::handleInput(std::size_t size) -> void
{
    reader_.append(std::span(input_).first(size));
    while (!closed_) {
        const auto body = reader_.next();
        if (!body || !body.value()) {
            malformed_ = !body;
            if (!body)
                fail(body.error().text());
            break;
        }
        auto frame = decodePeerFrame(*body.value());
        if (!frame || (!helloReceived_ && !frame.value().hello)) {
            malformed_ = true;
            fail(frame ? "first frame is not a hello" : frame.error().text());
            return;
        }
        if (!std::exchange(helloReceived_, true)) {
            router_ = idOf<RouterId>(frame.value().hello->endpoint);
            handlers_.onHello(shared_from_this(), *frame.value().hello);
            continue;
        }
        handlers_.onFrame(*this, std::move(frame.value()));
    }
    if (!closed_)
        read();
}

auto MeshLink::write() -> void
{
    std::swap(writing_, queued_);
    boost::asio::async_write(socket_, boost::asio::buffer(writing_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
            if (self->closed_)
                return;
            self->writing_.clear();
            if (error)
                self->fail(error.message());
            else if (!self->queued_.empty())
                self->write();
        });
}

} // namespace camphorshunt::router
