#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "answerintake.h"
#include "upstreampool.h"

namespace camphorshunt::test {

/** Takes the answer to one request. */
struct OneAnswer : router::AnswerListener {
    explicit OneAnswer(std::string id)
        : attempt(std::move(id))
    {
    }

    auto connectionFailed() -> void override { FAIL("no connection"); }
    auto headArrived(const platform::ResponseHeader& header) -> bool override
    {
        auto expected = router::AnswerIntake::Expected { attempt, route };
        expected.isFirstAnswer = connection->isFirstAnswer();
        return intake.consumeHead(header, expected) != router::AnswerIntake::Head::Mismatched;
    }
    auto bodyArrived(std::string_view bytes) -> void override { intake.consumeBody(bytes); }
    auto answerEnded(router::AnswerEnd end) -> void override { ended = end; }

    std::string attempt;
    Route route;
    router::AnswerIntake intake;
    std::shared_ptr<router::UpstreamConnection> connection;
    std::optional<router::AnswerEnd> ended;
};

/** An upstream whose answers the test writes. */
struct ScriptedUpstream {
    using Tcp = boost::asio::ip::tcp;

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

    /** Ends the connection, as if all had been sent or with a reset. */
    auto end(bool withReset) -> void
    {
        if (withReset)
            socket.set_option(boost::asio::socket_base::linger(true, 0));
        socket.close();
        run();
    }

    auto run() -> void
    {
        context.restart();
        context.run_for(std::chrono::milliseconds(50));
    }

    boost::asio::io_context context;
    boost::asio::io_context upstreamContext;
    Tcp::acceptor acceptor { upstreamContext, { boost::asio::ip::address_v4::loopback(), 0 } };
    Tcp::socket socket { upstreamContext };
    router::UpstreamPool pool { context };
    UpstreamEntry entry;
};

} // namespace camphorshunt::test
