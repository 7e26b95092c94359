#include "upstreamconnection.h"

#include <array>
#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "answerintake.h"
#include "bufferedcall.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

/** More than this from an upstream that sends no answer is too much. */
constexpr auto maxBytes = std::size_t { 4 } * 1024 * 1024;

/** An upstream that sends a beginning and then one piece again and again, until its connection is closed. */
struct EndlessUpstream {
    EndlessUpstream(boost::asio::io_context& context, std::string head, std::string piece)
        : acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , socket(context)
        , repeated(std::move(piece))
    {
        acceptor.async_accept(
            socket, [this, head = std::move(head)](const boost::system::error_code&) mutable {
                send(std::make_shared<std::string>(std::move(head)));
            });
    }

    auto send(const std::shared_ptr<std::string>& bytes) -> void
    {
        boost::asio::async_write(socket, boost::asio::buffer(*bytes),
            [this, bytes](const boost::system::error_code& error, std::size_t size) {
                sent += size;
                closed = static_cast<bool>(error);
                if (!error && sent < 2 * maxBytes)
                    send(std::make_shared<std::string>(repeated));
            });
    }

    Tcp::acceptor acceptor;
    Tcp::socket socket;
    std::string repeated;
    std::size_t sent = 0;
    bool closed = false;
};

/** An upstream that sends a byte of its answer every now and then. */
struct TricklingUpstream {
    explicit TricklingUpstream(boost::asio::io_context& context)
        : acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , socket(context)
        , timer(context)
    {
        acceptor.async_accept(socket, [this](const boost::system::error_code&) {
            send("HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n");
        });
    }

    auto send(std::string_view bytes) -> void
    {
        boost::asio::async_write(
            socket, boost::asio::buffer(bytes), [this](const boost::system::error_code& error, std::size_t) {
                if (error)
                    return;
                timer.expires_after(20ms);
                timer.async_wait([this](const boost::system::error_code&) { send("x"); });
            });
    }

    Tcp::acceptor acceptor;
    Tcp::socket socket;
    boost::asio::steady_timer timer;
};

/** Takes the answer to the request `a1` on a route with resumable streams. */
struct Listener : AnswerListener {
    auto connectionFailed() -> void override { ended = AnswerEnd::Broken; }
    auto headArrived(const platform::ResponseHeader& header) -> bool override
    {
        auto route = Route {};
        route.kind = RequestKind::Stream;
        route.resumable = true;
        return intake.consumeHead(header, { "a1", route }) != AnswerIntake::Head::Mismatched;
    }
    auto bodyArrived(std::string_view bytes) -> void override
    {
        if (intake.consumeBody(bytes).empty() && intake.isEndless()) {
            connection->close();
            ended = AnswerEnd::Broken;
        }
    }
    auto answerEnded(AnswerEnd end) -> void override { ended = end; }

    AnswerIntake intake;
    std::shared_ptr<UpstreamConnection> connection;
    std::optional<AnswerEnd> ended;
};

auto repeat(std::string_view text, std::size_t count) -> std::string
{
    auto repeated = std::string {};
    for (auto index = std::size_t { 0 }; index < count; ++index)
        repeated += text;
    return repeated;
}

/** What an upstream sends: a beginning, and a piece that is repeated without end. */
struct Bytes {
    std::string name;
    std::string head;
    std::string piece;
};

const auto signedHead = std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n");
const auto otherHead = std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: a2\r\nX-Response-Signature: s\r\n");

} // namespace

TEST_CASE("An upstream that sends bytes without end is cut off, and the bytes are not kept")
{
    const auto bytes = GENERATE_COPY(values<Bytes>({
        { "bytes that are no response", "", repeat("x", 1000) },
        { "a header line", signedHead + "X-Long: ", repeat("x", 1000) },
        { "header lines", signedHead, repeat("X-Many: x\r\n", 100) },
        { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "a chunk size", signedHead + "Transfer-Encoding: chunked\r\n\r\n", repeat("0", 1000) },
        { "a chunk extension", signedHead + "Transfer-Encoding: chunked\r\n\r\n5;", repeat("x", 1000) },
        { "an event in chunks", signedHead + "Transfer-Encoding: chunked\r\n\r\n",
            "3e8\r\n" + repeat("x", 1000) + "\r\n" },
        { "an event up to the end of the connection", signedHead + "\r\ndata: ", repeat("x", 1000) },
        { "empty lines", signedHead + "\r\n", repeat("\n", 1000) },
        { "the body of an answer to another request", otherHead + "Transfer-Encoding: chunked\r\n\r\n",
            "3e8\r\n" + repeat("x", 1000) + "\r\n" },
        { "answers to other requests", "", otherHead + "Content-Length: 0\r\n\r\n" },
    }));
    INFO(bytes.name);
    auto context = boost::asio::io_context {};
    auto upstream = EndlessUpstream(context, bytes.head, bytes.piece);
    auto entry = UpstreamEntry {};
    entry.endpoint = { "127.0.0.1", upstream.acceptor.local_endpoint().port() };
    auto listener = Listener {};
    listener.connection = std::make_shared<UpstreamConnection>(context, entry);
    listener.connection->dial("GET / HTTP/1.1\r\n\r\n", false, listener);
    context.run_for(10s);
    CHECK(listener.ended == AnswerEnd::Broken);
    CHECK(!listener.connection->isOpen());
    CHECK(upstream.closed);
    CHECK(upstream.sent < maxBytes);
    listener.connection->close();
}

TEST_CASE("Bytes after a complete answer do not reach the next request of the connection")
{
    auto context = boost::asio::io_context {};
    auto upstream = EndlessUpstream(
        context, signedHead + "Content-Length: 7\r\n\r\nid: 1\n\n" + repeat("x", 5000), repeat("x", 1000));
    auto entry = UpstreamEntry {};
    entry.endpoint = { "127.0.0.1", upstream.acceptor.local_endpoint().port() };
    auto listener = Listener {};
    listener.connection = std::make_shared<UpstreamConnection>(context, entry);
    listener.connection->dial("GET / HTTP/1.1\r\n\r\n", false, listener);
    context.run_for(10s);
    CHECK(listener.ended == AnswerEnd::Framed);
    CHECK(!listener.connection->isReusable());
    CHECK(!listener.connection->isOpen());
    CHECK(upstream.sent < maxBytes);
}

TEST_CASE("The daemon's client keeps no bytes that an upstream sends without end")
{
    const auto chunkedHead = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto bytes = GENERATE_COPY(values<Bytes>({
        { "bytes that are no response", "", repeat("x", 1000) },
        { "a header line", "HTTP/1.1 200 OK\r\nX-Long: ", repeat("x", 1000) },
        { "header lines", "HTTP/1.1 200 OK\r\n", repeat("X-Many: x\r\n", 100) },
        { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "a chunk size", chunkedHead, repeat("0", 1000) },
        { "a chunk extension", chunkedHead + "5;", repeat("x", 1000) },
        { "a trailer", chunkedHead + "0\r\nX-Long: ", repeat("x", 1000) },
        { "trailers", chunkedHead + "0\r\n", repeat("X-Many: x\r\n", 100) },
        { "a body in chunks", chunkedHead, "3e8\r\n" + repeat("x", 1000) + "\r\n" },
        { "a body up to the end of the connection", "HTTP/1.1 200 OK\r\n\r\n", repeat("x", 1000) },
        { "a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
            repeat("x", 1000) },
    }));
    INFO(bytes.name);
    auto context = boost::asio::io_context {};
    auto upstream = EndlessUpstream(context, bytes.head, bytes.piece);
    const auto client = net::HttpClient::create(context, 1, 1000ms);
    auto ended = std::optional<BufferedAnswer> {};
    callBuffered(*client, { "127.0.0.1", upstream.acceptor.local_endpoint().port() },
        { "GET", "/load", {}, {} }, {}, [&ended](BufferedAnswer answer) { ended = std::move(answer); });
    context.run_for(10s);
    REQUIRE(ended);
    CHECK_FALSE(ended->ok());
    CHECK(upstream.closed);
    CHECK(upstream.sent < maxBytes);
}

TEST_CASE("A buffered answer that trickles without end is given up")
{
    auto context = boost::asio::io_context {};
    auto upstream = TricklingUpstream(context);
    const auto client = net::HttpClient::create(context, 1, 1000ms);
    auto ended = std::optional<BufferedAnswer> {};
    callBuffered(*client, { "127.0.0.1", upstream.acceptor.local_endpoint().port() },
        { "GET", "/load", {}, {} }, { .total = 400ms },
        [&ended](BufferedAnswer answer) { ended = std::move(answer); });
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (!ended && std::chrono::steady_clock::now() < deadline)
        context.run_one_for(10ms);
    REQUIRE(ended);
    CHECK(ended->end == net::HttpCallEnd::Silent);
}
