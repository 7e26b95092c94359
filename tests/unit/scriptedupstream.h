#pragma once

#include <array>
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
    auto bodyArrived(std::string_view bytes) -> void override
    {
        passed += intake.consumeBody(bytes);
        if (pausesOnBody)
            connection->pauseReading();
    }
    auto answerEnded(router::AnswerEnd end) -> void override { ended = end; }

    std::string attempt;
    Route route;
    router::AnswerIntake intake;
    std::shared_ptr<router::UpstreamConnection> connection;
    std::optional<router::AnswerEnd> ended;
    /** Bytes for the caller. */
    std::string passed;
    /** Stops reading as soon as a part of the body has arrived. */
    bool pausesOnBody = false;
};

inline auto uploadOf(std::size_t bodyBytes) -> std::string
{
    return "POST / HTTP/1.1\r\nX-Attempt-Id: x\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
        + std::string(bodyBytes, 'u');
}

/** An upstream whose answers the test writes. */
struct ScriptedUpstream {
    using Tcp = boost::asio::ip::tcp;

    ScriptedUpstream()
    {
        entry.name = "engine";
        entry.endpoint = { "127.0.0.1", acceptor.local_endpoint().port() };
    }

    auto send(OneAnswer& answer, std::string request = "GET / HTTP/1.1\r\nX-Attempt-Id: x\r\n\r\n") -> void
    {
        answer.connection = pool.send(entry, std::move(request), false, false, answer);
        if (!socket.is_open())
            acceptor.accept(socket);
        run();
        auto received = std::string {};
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n");
    }

    /** Answers a first request, so that the next one is sent on the same connection. */
    auto keepConnection() -> void
    {
        auto first = OneAnswer { "first" };
        send(first);
        answer("HTTP/1.1 200 OK\r\nX-Attempt-Id: first\r\nX-Response-Signature: s\r\n"
               "Keep-Alive: timeout=30\r\nContent-Length: 4\r\n\r\ndone");
        REQUIRE(first.ended == router::AnswerEnd::Framed);
        pool.release(first.connection, first.intake.idleTimeout());
    }

    /** Sends a request whose body stays in part unsent, as this upstream reads no more than its head. */
    auto sendUpload(OneAnswer& answer) -> void
    {
        constexpr auto receiveBuffer = 4096;
        constexpr auto bodyBytes = std::size_t { 8 } * 1024 * 1024;
        acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer));
        send(answer, uploadOf(bodyBytes));
        REQUIRE(answer.connection->unsentBytes() > 0);
    }

    /** Sends bytes that the router reads only when it runs next, unless it has closed the connection. */
    auto write(std::string_view text) -> void
    {
        auto closed = boost::system::error_code {};
        boost::asio::write(socket, boost::asio::buffer(text), closed);
    }

    auto answer(std::string_view text) -> void
    {
        write(text);
        run();
    }

    /** Ends the answers in order; the rest of a request can still arrive. */
    auto shutDown() -> void { socket.shutdown(Tcp::socket::shutdown_send); }

    /** Reads what has arrived; true if any bytes had. */
    auto drain() -> bool
    {
        auto bytes = std::array<char, 65536> {};
        auto any = false;
        while (socket.available() > 0)
            any = socket.read_some(boost::asio::buffer(bytes)) > 0;
        return any;
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
        // On a busy machine the time may pass without all handlers that are ready having run.
        while (context.poll() > 0) { }
    }

    boost::asio::io_context context;
    boost::asio::io_context upstreamContext;
    Tcp::acceptor acceptor { upstreamContext, { boost::asio::ip::address_v4::loopback(), 0 } };
    Tcp::socket socket { upstreamContext };
    router::UpstreamPool pool { context };
    UpstreamEntry entry;
};

} // namespace camphorshunt::test
