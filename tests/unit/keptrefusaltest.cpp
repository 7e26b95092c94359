#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "answerintake.h"
#include "upstreampool.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr auto refusalWithoutId
    = std::string_view("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nKeep-Alive: "
                       "timeout=30\r\nContent-Length: 0\r\n\r\n");

/** Takes the answer to one request. */
struct OneAnswer : AnswerListener {
    explicit OneAnswer(std::string id)
        : attempt(std::move(id))
    {
    }

    auto connectionFailed() -> void override { FAIL("no connection"); }
    auto headArrived(const platform::ResponseHeader& header) -> bool override
    {
        auto expected = AnswerIntake::Expected { attempt, route };
        expected.isFirstAnswer = connection->isFirstAnswer();
        return intake.consumeHead(header, expected) != AnswerIntake::Head::Mismatched;
    }
    auto bodyArrived(std::string_view bytes) -> void override { intake.consumeBody(bytes); }
    auto answerEnded(AnswerEnd end) -> void override { ended = end; }

    std::string attempt;
    Route route;
    AnswerIntake intake;
    std::shared_ptr<UpstreamConnection> connection;
    std::optional<AnswerEnd> ended;
};

/** An upstream whose answers the test writes. */
struct ScriptedUpstream {
    ScriptedUpstream()
    {
        entry.name = "engine";
        entry.endpoint = { "127.0.0.1", acceptor.local_endpoint().port() };
    }

    auto send(OneAnswer& answer) -> void
    {
        answer.connection
            = pool.send(entry, "GET / HTTP/1.1\r\nX-Attempt-Id: x\r\n\r\n", false, false, answer);
        if (!socket.is_open())
            acceptor.accept(socket);
        run();
        auto request = std::string {};
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    }

    auto answer(std::string_view text) -> void
    {
        boost::asio::write(socket, boost::asio::buffer(text));
        run();
    }

    auto run() -> void
    {
        context.restart();
        context.run_for(50ms);
    }

    boost::asio::io_context context;
    boost::asio::io_context upstreamContext;
    Tcp::acceptor acceptor { upstreamContext, { boost::asio::ip::address_v4::loopback(), 0 } };
    Tcp::socket socket { upstreamContext };
    UpstreamPool pool { context };
    UpstreamEntry entry;
};

} // namespace

TEST_CASE(
    "A refusal without an id that is written once more on a kept connection does not end the next request")
{
    auto upstream = ScriptedUpstream {};
    auto first = OneAnswer { "first" };
    upstream.send(first);
    upstream.answer(refusalWithoutId);
    REQUIRE(first.ended == AnswerEnd::Framed);
    REQUIRE(first.intake.notRun());
    upstream.pool.release(first.connection, first.intake.idleTimeout());

    auto second = OneAnswer { "second" };
    upstream.send(second);
    REQUIRE(second.connection == first.connection);
    upstream.answer(refusalWithoutId);
    CHECK_FALSE(second.ended);
    CHECK_FALSE(second.intake.notRun());
    upstream.answer("HTTP/1.1 200 OK\r\nX-Attempt-Id: second\r\nX-Response-Signature: s\r\nContent-Length: "
                    "4\r\n\r\ndone");
    REQUIRE(second.ended == AnswerEnd::Framed);
    CHECK(second.intake.isComplete(*second.ended));
    CHECK(second.intake.finish().ends_with("done"));
}
