#include "httpserver.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "httpserverconnection.h"
#include "listening.h"

namespace camphorshunt::net {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

/** Connections that are being refused with 503; further ones are closed without an answer. */
constexpr auto maxConcurrentRefusals = std::size_t { 64 };
/** Delay before the next accept after a failed one, for example when file descriptors have run out. */
constexpr auto acceptPause = std::chrono::milliseconds(50);

/** Accepts connections. The pending accept or retry timer keeps it alive. */
class Listener : public std::enable_shared_from_this<Listener> {
public:
    Listener(asio::io_context& context, std::shared_ptr<HttpServerState> state)
        : acceptor_(context)
        , retryTimer_(context)
        , state_(std::move(state))
    {
    }

    auto open(const Endpoint& endpoint) -> ErrorCode
    {
        auto error = ErrorCode {};
        const auto address = asio::ip::make_address(endpoint.address, error);
        const auto local = Tcp::endpoint(address, endpoint.port);
        if (!error)
            error = openAcceptor(acceptor_, local);
        if (!error)
            bound_ = acceptor_.local_endpoint(error);
        return error;
    }

    auto accept() -> void
    {
        acceptor_.async_accept([self = shared_from_this()](const ErrorCode& error, Tcp::socket socket) {
            self->accepted(error, std::move(socket));
        });
    }

    auto close() -> void
    {
        auto ignored = ErrorCode {};
        acceptor_.close(ignored);
        retryTimer_.cancel();
    }

    auto endpoint() const -> Endpoint { return { bound_.address().to_string(), bound_.port() }; }

private:
    auto accepted(const ErrorCode& error, Tcp::socket socket) -> void
    {
        if (!acceptor_.is_open())
            return;
        if (error) {
            acceptLater();
            return;
        }
        const auto isFull = state_->openConnections.size() >= state_->limits.connections;
        if (!isFull)
            std::make_shared<HttpServerConnection>(std::move(socket), state_)->start();
        else if (state_->activeRefusals < maxConcurrentRefusals)
            std::make_shared<HttpServerConnection>(std::move(socket), state_)->refuse();
        accept();
    }

    auto acceptLater() -> void
    {
        retryTimer_.expires_after(acceptPause);
        retryTimer_.async_wait([self = shared_from_this()](const ErrorCode& error) {
            if (!error && self->acceptor_.is_open())
                self->accept();
        });
    }

    Tcp::acceptor acceptor_;
    asio::steady_timer retryTimer_;
    Tcp::endpoint bound_;
    std::shared_ptr<HttpServerState> state_;
};

class BeastHttpServer : public HttpServer {
public:
    BeastHttpServer(std::shared_ptr<Listener> listener, std::shared_ptr<HttpServerState> state)
        : listener_(std::move(listener))
        , state_(std::move(state))
    {
    }

    ~BeastHttpServer() override
    {
        listener_->close();
        state_->stopping = true;
        state_->handler = nullptr;
        forEachConnection([](HttpServerConnection& connection) { connection.abort(); });
    }

    BeastHttpServer(const BeastHttpServer&) = delete;
    auto operator=(const BeastHttpServer&) -> BeastHttpServer& = delete;

    auto endpoint() const -> Endpoint override { return listener_->endpoint(); }

    auto stopAccepting() -> void override
    {
        listener_->close();
        state_->stopping = true;
        forEachConnection([](HttpServerConnection& connection) { connection.closeWhenIdle(); });
    }

    auto connections() const -> std::size_t override { return state_->openConnections.size(); }

private:
    template <typename Visit> auto forEachConnection(Visit visit) -> void
    {
        // A copy, since closing a connection removes it from openConnections.
        const auto openConnections = state_->openConnections;
        for (const auto& entry : openConnections) {
            if (const auto connection = entry.second.lock())
                visit(*connection);
        }
    }

    std::shared_ptr<Listener> listener_;
    std::shared_ptr<HttpServerState> state_;
};

} // namespace

auto HttpServer::listen(asio::io_context& context, const Endpoint& endpoint, const HttpServerLimits& limits,
    Handler handler) -> Result<std::unique_ptr<HttpServer>>
{
    auto state = std::make_shared<HttpServerState>();
    state->limits = limits;
    state->handler = std::move(handler);
    auto listener = std::make_shared<Listener>(context, state);
    if (const auto error = listener->open(endpoint))
        return failure(
            Error::Code::Io, "listen", "cannot listen on " + endpoint.text() + ": " + error.message());
    listener->accept();
    return std::unique_ptr<HttpServer>(
        std::make_unique<BeastHttpServer>(std::move(listener), std::move(state)));
}

} // namespace camphorshunt::net
