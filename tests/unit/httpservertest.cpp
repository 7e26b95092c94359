#include "httpserver.h"

#include "httptestsupport.h"

using namespace camphorshunt;
using namespace camphorshunt::net;
using namespace camphorshunt::net::test;

namespace {

using ExchangePtr = std::shared_ptr<HttpExchange>;

struct ServerFixture {
    boost::asio::io_context context;
    std::vector<HttpRequest> requests;
    std::vector<ExchangePtr> exchanges;
    std::unique_ptr<HttpServer> server;

    auto listen(const HttpServerLimits& limits = {}) -> void
    {
        server = HttpServer::listen(
            context, loopback, limits, [this](HttpRequest request, ExchangePtr exchange) {
                requests.push_back(std::move(request));
                exchanges.push_back(std::move(exchange));
            }).value();
    }
    auto awaitRequests(std::size_t count) -> bool
    {
        return runUntil(context, [&] { return requests.size() >= count; });
    }
};

constexpr std::string_view plainGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE("A request receives a complete answer and the connection serves the next one")
{
    auto fixture = ServerFixture {};
    fixture.listen();
    auto peer = RawPeer(fixture.context, fixture.server->endpoint());
    peer.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
    REQUIRE(fixture.awaitRequests(1));
    CHECK(fixture.requests[0].body == "abc");
    fixture.exchanges[0]->respond(200, { { "X-Forged", "a\r\nb: c" } }, "first");
    REQUIRE(peer.receives("Content-Length: 5\r\nConnection: keep-alive\r\n\r\nfirst"));
    CHECK(peer.received.find("X-Forged") == std::string::npos);

    peer.send(plainGet);
    REQUIRE(fixture.awaitRequests(2));
    fixture.exchanges[1]->beginStream(200, {});
    fixture.exchanges[1]->write("0123456789");
    fixture.exchanges[1]->finish();
    CHECK(peer.receives("chunked\r\nConnection: keep-alive\r\n\r\na\r\n0123456789\r\n0\r\n\r\n"));
}

TEST_CASE("A pipelined request is kept and served after the answer in progress")
{
    auto fixture = ServerFixture {};
    fixture.listen();
    auto peer = RawPeer(fixture.context, fixture.server->endpoint());
    peer.send(plainGet);
    REQUIRE(fixture.awaitRequests(1));
    peer.send("GET /b HTTP/1.1\r\n");
    fixture.context.run_for(20ms);
    fixture.exchanges[0]->respond(200, {}, "one");
    peer.send("Host: x\r\n\r\n");
    REQUIRE(fixture.awaitRequests(2));
    CHECK(fixture.requests[1].target == "/b");
    fixture.exchanges[1]->respond(200, {}, "two");
    CHECK(peer.receives("two"));
}

TEST_CASE("A HEAD request is answered without a body and an HTTP/1.0 request without chunks")
{
    auto fixture = ServerFixture {};
    fixture.listen();
    auto head = RawPeer(fixture.context, fixture.server->endpoint());
    head.send("HEAD / HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(fixture.awaitRequests(1));
    fixture.exchanges[0]->respond(200, {}, "body");
    REQUIRE(head.receives("Content-Length: 4"));
    CHECK(head.received.ends_with("\r\n\r\n"));

    auto old = RawPeer(fixture.context, fixture.server->endpoint());
    old.send("GET / HTTP/1.0\r\n\r\n");
    REQUIRE(fixture.awaitRequests(2));
    fixture.exchanges[1]->beginStream(200, {});
    fixture.exchanges[1]->write("plain");
    fixture.exchanges[1]->finish();
    REQUIRE(old.seesClose());
    CHECK(old.received.ends_with("Connection: close\r\n\r\nplain"));
}

TEST_CASE("A malformed request or one beyond a limit is refused with the matching status")
{
    auto limits = HttpServerLimits {};
    limits.headerBytes = 256;
    limits.bodyBytes = 10;
    limits.requestTimeout = 50ms;
    auto fixture = ServerFixture {};
    fixture.listen(limits);
    const auto answerTo = [&](const std::string& bytes) {
        auto peer = RawPeer(fixture.context, fixture.server->endpoint());
        peer.send(bytes);
        CHECK(peer.seesClose());
        return peer.received.substr(0, std::string_view("HTTP/1.1 000").size());
    };
    CHECK(answerTo("GET / HTTP/1.1\r\nA: " + std::string(1000, 'a') + "\r\n\r\n") == "HTTP/1.1 431");
    CHECK(answerTo("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n12345678901") == "HTTP/1.1 413");
    CHECK(answerTo("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n")
        == "HTTP/1.1 413");
    CHECK(answerTo("GET / HTTP/1.1\r\nHo") == "HTTP/1.1 408");
    CHECK(answerTo("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n123") == "HTTP/1.1 408");
    CHECK(answerTo("no such thing\r\n\r\n") == "HTTP/1.1 400");
    CHECK(fixture.requests.empty());
}

TEST_CASE("Trailers, chunk extensions and chunk sizes without end are refused instead of kept")
{
    auto limits = HttpServerLimits {};
    limits.headerBytes = 256;
    limits.bodyBytes = 1000;
    limits.requestTimeout = 20s;
    const auto endless = [](const std::string& piece) {
        auto text = std::string {};
        while (text.size() < std::size_t { 300 } * 1024)
            text += piece;
        return text;
    };
    const auto body = GENERATE_COPY("5\r\nhello\r\n0\r\n" + endless("X-Trailer: value\r\n"),
        "5\r\nhello\r\n0\r\nX-Trailer: " + endless("value"), "5;name=" + endless("value"), endless("0"));
    auto fixture = ServerFixture {};
    fixture.listen(limits);
    auto peer = RawPeer(fixture.context, fixture.server->endpoint());
    peer.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
    CHECK(peer.receives("HTTP/1.1 431"));
    CHECK(fixture.requests.empty());
}

TEST_CASE("A connection beyond the limit is refused until another one is closed")
{
    auto limits = HttpServerLimits {};
    limits.connections = 1;
    auto fixture = ServerFixture {};
    fixture.listen(limits);
    auto first = RawPeer(fixture.context, fixture.server->endpoint());
    REQUIRE(runUntil(fixture.context, [&] { return fixture.server->connections() == 1; }));
    auto second = RawPeer(fixture.context, fixture.server->endpoint());
    CHECK(second.receives("HTTP/1.1 503"));
    first.close();
    REQUIRE(runUntil(fixture.context, [&] { return fixture.server->connections() == 0; }));
    auto third = RawPeer(fixture.context, fixture.server->endpoint());
    third.send(plainGet);
    CHECK(fixture.awaitRequests(1));
}

TEST_CASE("The disconnect of a caller is reported once, before and during its answer")
{
    const auto streaming = GENERATE(false, true);
    auto fixture = ServerFixture {};
    fixture.listen();
    auto gone = 0;
    auto peer = RawPeer(fixture.context, fixture.server->endpoint());
    peer.send(plainGet);
    REQUIRE(fixture.awaitRequests(1));
    fixture.exchanges[0]->onDisconnect([&] { ++gone; });
    if (streaming)
        fixture.exchanges[0]->beginStream(200, {});
    peer.close();
    CHECK(runUntil(fixture.context, [&] { return gone == 1; }));
    fixture.exchanges[0]->respond(200, {}, "late");
    fixture.exchanges.clear();
    fixture.context.run_for(10ms);
    CHECK(gone == 1);
    CHECK(fixture.server->connections() == 0);
}

TEST_CASE("Bytes that a slow caller has not read are counted as unwritten and later reported as written")
{
    constexpr auto chunkSize = std::size_t { 1024 } * 1024;
    constexpr auto chunks = std::size_t { 16 };
    auto fixture = ServerFixture {};
    fixture.listen();
    auto peer = RawPeer(fixture.context, fixture.server->endpoint());
    peer.send(plainGet);
    REQUIRE(fixture.awaitRequests(1));
    auto written = std::size_t {};
    const auto exchange = fixture.exchanges[0];
    exchange->onWritten([&](std::size_t bytes) { written += bytes; });
    exchange->beginStream(200, {});
    for (auto sent = std::size_t {}; sent < chunks; ++sent)
        exchange->write(std::string(chunkSize, 'x'));
    fixture.context.run_for(20ms);
    CHECK(exchange->unwrittenBytes() > 0);
    exchange->finish();
    CHECK(peer.receives("\r\n0\r\n\r\n"));
    CHECK(written == chunks * chunkSize);
    CHECK(exchange->unwrittenBytes() == 0);
}

TEST_CASE("A server that stops accepting closes idle connections and completes answers in progress")
{
    auto fixture = ServerFixture {};
    fixture.listen();
    auto idle = RawPeer(fixture.context, fixture.server->endpoint());
    auto busy = RawPeer(fixture.context, fixture.server->endpoint());
    busy.send(plainGet);
    REQUIRE(fixture.awaitRequests(1));
    REQUIRE(runUntil(fixture.context, [&] { return fixture.server->connections() == 2; }));
    fixture.server->stopAccepting();
    CHECK(idle.seesClose());
    fixture.exchanges[0]->respond(200, {}, "whole");
    CHECK(busy.receives("Connection: close\r\n\r\nwhole"));
    CHECK(busy.seesClose());
}
