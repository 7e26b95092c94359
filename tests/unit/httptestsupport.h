#pragma once

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "httpclient.h"
#include "httpserver.h"

namespace camphorshunt::net::test {

using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

inline const auto loopback = Endpoint { "127.0.0.1", 0 };

/** Runs handlers until `isReached` returns true. Returns false after 30 s. */
template <typename Predicate> auto runUntil(boost::asio::io_context& context, Predicate isReached) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + 30s;
    while (!isReached()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        context.restart();
        context.run_one_for(5ms);
    }
    return true;
}

/** Everything that one call reported to its handlers. */
struct RecordedCall {
    HttpResponseHead head;
    std::string body;
    std::vector<HttpCallEnd> ends;

    auto handlers() -> HttpCallHandlers
    {
        return { [this](const HttpResponseHead& seen) { head = seen; },
            [this](std::string_view bytes) { body.append(bytes); },
            [this](HttpCallEnd end) { ends.push_back(end); } };
    }
    auto ended() const -> bool { return !ends.empty(); }
};

inline auto callTo(const Endpoint& endpoint, std::string target = "/", std::string body = {}) -> HttpCallSpec
{
    auto spec = HttpCallSpec {};
    spec.endpoint = endpoint;
    spec.request = { body.empty() ? "GET" : "POST", std::move(target), {}, std::move(body) };
    return spec;
}

/** A peer that sends and reads raw bytes, for traffic that a conforming peer never produces. */
class RawPeer {
public:
    explicit RawPeer(boost::asio::io_context& context, const Endpoint& endpoint)
        : context_(context)
        , socket_(context)
    {
        socket_.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
        socket_.non_blocking(true);
    }
    RawPeer(boost::asio::io_context& context, Tcp::socket socket)
        : context_(context)
        , socket_(std::move(socket))
    {
        socket_.non_blocking(true);
    }

    auto send(std::string_view bytes) -> void { boost::asio::write(socket_, boost::asio::buffer(bytes)); }
    auto close() -> void { socket_.close(); }

    /** Waits until the bytes received so far contain `text`. */
    auto receives(std::string_view text) -> bool
    {
        return runUntil(context_, [&] {
            poll();
            return received.find(text) != std::string::npos;
        });
    }
    auto seesClose() -> bool
    {
        return runUntil(context_, [&] {
            poll();
            return closed_;
        });
    }

    std::string received;

private:
    auto poll() -> void
    {
        auto error = boost::system::error_code {};
        auto bytes = std::string(65536, '\0');
        const auto size = socket_.read_some(boost::asio::buffer(bytes), error);
        received.append(bytes, 0, size);
        closed_ = closed_ || (error && error != boost::asio::error::would_block);
    }

    boost::asio::io_context& context_;
    Tcp::socket socket_;
    bool closed_ = false;
};

enum class ConnectionEnd { None, InOrder, Reset };

/** Answers the first request with these bytes, whatever they are, and then ends the connection in this way.
 */
class RawServer {
public:
    RawServer(boost::asio::io_context& context, std::string answer, ConnectionEnd end)
        : acceptor_(context, { boost::asio::ip::address_v4::loopback(), 0 })
        , socket_(context)
        , answer_(std::move(answer))
        , end_(end)
    {
        acceptor_.async_accept(socket_, [this](const boost::system::error_code& error) {
            if (!error)
                awaitRequest();
        });
    }

    auto endpoint() const -> Endpoint { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

private:
    auto awaitRequest() -> void
    {
        socket_.async_read_some(
            boost::asio::buffer(request_), [this](const boost::system::error_code& error, std::size_t) {
                if (!error)
                    respond();
            });
    }

    auto respond() -> void
    {
        boost::asio::async_write(socket_, boost::asio::buffer(answer_),
            [this](const boost::system::error_code& error, std::size_t) {
                if (error || end_ == ConnectionEnd::None)
                    return;
                if (end_ == ConnectionEnd::Reset)
                    socket_.set_option(boost::asio::socket_base::linger(true, 0));
                socket_.close();
            });
    }

    Tcp::acceptor acceptor_;
    Tcp::socket socket_;
    std::string answer_;
    ConnectionEnd end_;
    std::array<char, 4096> request_ {};
};

} // namespace camphorshunt::net::test
