#include "httpclient.h"

#include "httptestsupport.h"

using namespace camphorshunt;
using namespace camphorshunt::net;
using namespace camphorshunt::net::test;

namespace {

/** A client and a listening socket whose answers the test writes byte by byte. */
struct ClientFixture {
    boost::asio::io_context context;
    Tcp::acceptor acceptor { context, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    Endpoint endpoint { "127.0.0.1", acceptor.local_endpoint().port() };
    std::unique_ptr<HttpClient> client = HttpClient::create(context, 4, 60s);

    auto accept() -> RawPeer
    {
        auto accepted = std::optional<Tcp::socket>();
        acceptor.async_accept([&](boost::system::error_code error, Tcp::socket socket) {
            REQUIRE_FALSE(error);
            accepted.emplace(std::move(socket));
        });
        REQUIRE(runUntil(context, [&] { return accepted.has_value(); }));
        return { context, std::move(*accepted) };
    }
    auto awaitEnd(const RecordedCall& call) -> HttpCallEnd
    {
        REQUIRE(runUntil(context, [&] { return call.ended(); }));
        context.run_for(5ms);
        REQUIRE(call.ends.size() == 1);
        return call.ends.front();
    }
    auto answered(std::string_view answer) -> std::pair<HttpCallEnd, std::string>
    {
        auto call = RecordedCall {};
        client->start(callTo(endpoint), call.handlers());
        auto peer = accept();
        REQUIRE(peer.receives("\r\n\r\n"));
        peer.send(answer);
        peer.close();
        const auto end = awaitEnd(call);
        return { end, call.body };
    }
};

constexpr std::string_view okThree = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
constexpr std::string_view chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("An answer is complete only with its terminator")
{
    auto fixture = ClientFixture {};
    const auto chunked = std::string(chunkedHead);
    using Answer = std::pair<HttpCallEnd, std::string>;
    CHECK(fixture.answered(okThree) == Answer { HttpCallEnd::Complete, "abc" });
    CHECK(fixture.answered("HTTP/1.1 100 Continue\r\n\r\n" + std::string(okThree))
        == Answer { HttpCallEnd::Complete, "abc" });
    CHECK(fixture.answered(chunked + "3\r\nabc\r\n0\r\n\r\n") == Answer { HttpCallEnd::Complete, "abc" });
    CHECK(fixture.answered(chunked + "3\r\nabc\r\n") == Answer { HttpCallEnd::Broken, "abc" });
    CHECK(fixture.answered("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
        == Answer { HttpCallEnd::Broken, "abc" });
    CHECK(fixture.answered("HTTP/1.1 200 OK\r\n\r\nabc") == Answer { HttpCallEnd::Broken, "abc" });
    CHECK(fixture.answered("") == Answer { HttpCallEnd::Broken, "" });
    CHECK(fixture.answered("nonsense\r\n\r\n") == Answer { HttpCallEnd::Broken, "" });
}

TEST_CASE("A call that cannot connect ends as not sent")
{
    auto fixture = ClientFixture {};
    fixture.acceptor.close();
    auto call = RecordedCall {};
    fixture.client->start(callTo(fixture.endpoint), call.handlers());
    CHECK_FALSE(call.ended());
    CHECK(fixture.awaitEnd(call) == HttpCallEnd::NotSent);
}

TEST_CASE("A call ends as silent if the peer sends nothing, before and within its answer")
{
    const auto withHead = GENERATE(false, true);
    auto fixture = ClientFixture {};
    auto call = RecordedCall {};
    auto spec = callTo(fixture.endpoint);
    spec.firstByteTimeout = withHead ? 60s : 30ms;
    spec.gapTimeout = 30ms;
    fixture.client->start(spec, call.handlers());
    auto peer = fixture.accept();
    REQUIRE(peer.receives("\r\n\r\n"));
    if (withHead)
        peer.send(std::string(chunkedHead) + "1\r\na\r\n");
    CHECK(fixture.awaitEnd(call) == HttpCallEnd::Silent);
    CHECK(peer.seesClose());
}

TEST_CASE("A cancelled call ends exactly once as cancelled, also before it has started")
{
    const auto beforeStart = GENERATE(false, true);
    auto fixture = ClientFixture {};
    auto call = RecordedCall {};
    const auto handle = fixture.client->start(callTo(fixture.endpoint), call.handlers());
    if (!beforeStart)
        fixture.accept().receives("\r\n\r\n");
    handle->cancel();
    CHECK_FALSE(call.ended());
    handle->cancel();
    CHECK(fixture.awaitEnd(call) == HttpCallEnd::Cancelled);
}

TEST_CASE("A paused call reads no more than one buffer and does not time out")
{
    constexpr auto total = std::size_t { 32 } * 1024 * 1024;
    constexpr auto chunkSize = std::size_t { 128 } * 1024;
    auto fixture = ClientFixture {};
    auto sent = std::size_t {};
    const auto server = HttpServer::listen(fixture.context, loopback, {},
        [&](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
            exchange->onWritten([&](std::size_t bytes) { sent += bytes; });
            exchange->beginStream(200, {});
            for (auto queued = std::size_t {}; queued < total; queued += chunkSize)
                exchange->write(std::string(chunkSize, 'x'));
            exchange->finish();
        }).value();
    auto call = RecordedCall {};
    auto handle = std::shared_ptr<HttpCall>();
    auto handlers = call.handlers();
    handlers.onHead = [&](const HttpResponseHead&) { handle->pause(); };
    auto spec = callTo(server->endpoint());
    spec.gapTimeout = 50ms;
    handle = fixture.client->start(spec, handlers);
    fixture.context.run_for(200ms);
    CHECK(call.body.empty());
    CHECK_FALSE(call.ended());
    CHECK(sent < total);
    handle->resume();
    REQUIRE(runUntil(fixture.context, [&] { return !call.body.empty(); }));
    handle->pause();
    const auto atPause = call.body.size();
    fixture.context.run_for(100ms);
    CHECK(call.body.size() == atPause);
    handle->resume();
    CHECK(fixture.awaitEnd(call) == HttpCallEnd::Complete);
    CHECK(call.body.size() == total);
}

TEST_CASE("Only a connection whose last call was complete is reused")
{
    auto fixture = ClientFixture {};
    auto first = RecordedCall {};
    fixture.client->start(callTo(fixture.endpoint), first.handlers());
    auto peer = fixture.accept();
    REQUIRE(peer.receives("\r\n\r\n"));
    peer.send(okThree);
    REQUIRE(fixture.awaitEnd(first) == HttpCallEnd::Complete);

    auto second = RecordedCall {};
    fixture.client->start(callTo(fixture.endpoint, "/second"), second.handlers());
    REQUIRE(peer.receives("/second"));
    peer.send(std::string(chunkedHead) + "1\r\na\r\n");
    SECTION("and not after its peer closed it during an answer")
    {
        peer.close();
        REQUIRE(fixture.awaitEnd(second) == HttpCallEnd::Broken);
    }
    SECTION("and not with unread bytes that belong to no call")
    {
        peer.send("0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n");
        REQUIRE(fixture.awaitEnd(second) == HttpCallEnd::Complete);
    }
    SECTION("and not after unexpected bytes arrived while it was idle")
    {
        peer.send("0\r\n\r\n");
        REQUIRE(fixture.awaitEnd(second) == HttpCallEnd::Complete);
        peer.send("HTTP/1.1 200 OK\r\n\r\n");
        REQUIRE(peer.seesClose());
    }
    auto third = RecordedCall {};
    fixture.client->start(callTo(fixture.endpoint, "/third"), third.handlers());
    auto fresh = fixture.accept();
    REQUIRE(fresh.receives("/third"));
    fresh.send(okThree);
    CHECK(fixture.awaitEnd(third) == HttpCallEnd::Complete);
}

TEST_CASE("The connection of a call with discardConnection is closed and not reused")
{
    auto fixture = ClientFixture {};
    auto call = RecordedCall {};
    const auto handle = fixture.client->start(callTo(fixture.endpoint), call.handlers());
    handle->discardConnection();
    auto peer = fixture.accept();
    REQUIRE(peer.receives("\r\n\r\n"));
    peer.send(okThree);
    REQUIRE(fixture.awaitEnd(call) == HttpCallEnd::Complete);
    CHECK(peer.seesClose());
}

TEST_CASE("Each chunk is delivered when it arrives, not with the next one")
{
    auto fixture = ClientFixture {};
    auto call = RecordedCall {};
    fixture.client->start(callTo(fixture.endpoint), call.handlers());
    auto peer = fixture.accept();
    REQUIRE(peer.receives("\r\n\r\n"));
    peer.send(std::string(chunkedHead) + "1\r\na\r\n");
    CHECK(runUntil(fixture.context, [&] { return call.body == "a"; }));
    peer.send("1\r\nb\r\n0\r\n\r\n");
    CHECK(fixture.awaitEnd(call) == HttpCallEnd::Complete);
    CHECK(call.body == "ab");
}
