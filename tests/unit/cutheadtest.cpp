#include "httptestsupport.h"
#include "scriptedupstream.h"
#include "takeoverattempt.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace camphorshunt::test;

namespace {

constexpr auto statusLine = std::string_view("HTTP/1.1 200 OK\r\n");
constexpr auto headers = std::string_view("X-Attempt-Id: second\r\nX-Response-Signature: s\r\n");
constexpr auto framing = std::string_view("Content-Length: 4\r\nKeep-Alive: timeout=30\r\n");

auto wholeHead() -> std::string
{
    return std::string(statusLine).append(headers).append(framing).append("\r\n");
}

/** Heads that end in a line, after one, before the framing and before the empty line. */
auto cutHeads() -> std::vector<std::string>
{
    const auto head = wholeHead();
    const auto beforeFraming = statusLine.size() + headers.size();
    auto cuts = std::vector<std::string> {};
    for (const auto size : { std::size_t { 0 }, std::size_t { 9 }, statusLine.size(), statusLine.size() + 10,
             beforeFraming, beforeFraming + 4, head.size() - 2, head.size() - 1 })
        cuts.push_back(head.substr(0, size));
    return cuts;
}

} // namespace

TEST_CASE("An answer whose head is cut off does not look complete, on a fresh and on a kept connection")
{
    const auto withReset = GENERATE(false, true);
    const auto isKept = GENERATE(false, true);
    for (const auto& cut : cutHeads()) {
        CAPTURE(cut, withReset, isKept);
        auto upstream = ScriptedUpstream {};
        if (isKept)
            upstream.keepConnection();
        auto second = OneAnswer { "second" };
        upstream.send(second);
        upstream.answer(cut);
        upstream.end(withReset);
        CHECK(second.ended == AnswerEnd::Broken);
        CHECK_FALSE(second.intake.hasHead());
        CHECK_FALSE(second.intake.isComplete(AnswerEnd::Connection));
    }
}

TEST_CASE("An upstream whose answer's head is cut off does not take a request over")
{
    for (const auto& cut : cutHeads()) {
        CAPTURE(cut);
        CHECK(endOfTakeover(cut) == PlacementEnd::Broken);
    }
}

TEST_CASE("A call of the HTTP client whose answer's head is cut off is broken")
{
    for (const auto& cut : cutHeads()) {
        CAPTURE(cut);
        auto context = boost::asio::io_context {};
        auto acceptor
            = boost::asio::ip::tcp::acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
        auto socket = boost::asio::ip::tcp::socket(context);
        acceptor.async_accept(socket, [&socket, &cut](const boost::system::error_code& error) {
            REQUIRE_FALSE(error);
            boost::asio::write(socket, boost::asio::buffer(cut));
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
        });
        const auto client = net::HttpClient::create(context, 1, std::chrono::seconds(10));
        auto call = net::test::RecordedCall {};
        client->start(net::test::callTo({ "127.0.0.1", acceptor.local_endpoint().port() }), call.handlers());
        REQUIRE(net::test::runUntil(context, [&call] { return call.ended(); }));
        CHECK(call.ends.front() == net::HttpCallEnd::Broken);
        CHECK(call.head.status == 0);
    }
}
