#include <array>
#include <string>

#include "callerconnection.h"
#include "drivenrelay.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

/** Far more than the kernel buffers between an upstream and a caller hold, in bytes. */
constexpr auto largeAnswer = std::size_t { 24 } * 1024 * 1024;
/** More than a caller's receive buffer holds, and less than the send buffer of a router does. */
constexpr auto mediumAnswer = std::size_t { 2 } * 1024 * 1024;
/** An answer that its caller does not take may occupy this much of the kernel and the router. */
constexpr auto maxUntaken = std::size_t { 16 } * 1024 * 1024;
constexpr auto request = std::string_view(
    "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 500\r\nContent-Length: 0\r\n"
    "Connection: close\r\n\r\n");

/** A plain upstream that answers one request with this many bytes. */
struct LargeUpstream {
    LargeUpstream(boost::asio::io_context& context, std::size_t bytes)
        : acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , socket(context)
        , answer("HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\nContent-Length: "
              + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x'))
    {
        acceptor.async_accept(socket, [this](const boost::system::error_code&) {
            socket.async_read_some(boost::asio::buffer(received),
                [this](const boost::system::error_code&, std::size_t) { send(); });
        });
    }

    auto send() -> void
    {
        socket.async_write_some(boost::asio::buffer(answer) + sent,
            [this](const boost::system::error_code& error, std::size_t size) {
                sent += size;
                if (!error && sent < answer.size())
                    send();
            });
    }

    auto list() const -> std::shared_ptr<const UpstreamList>
    {
        auto entry = UpstreamEntry {};
        entry.name = "large";
        entry.service = idOf<ServiceId>("engines");
        entry.endpoint = { "127.0.0.1", acceptor.local_endpoint().port() };
        return std::make_shared<const UpstreamList>(UpstreamList { entry });
    }

    Tcp::acceptor acceptor;
    Tcp::socket socket;
    std::array<char, 1024> received {};
    std::string answer;
    std::size_t sent = 0;
};

/** A caller's connection that the test owns, and the caller's end of it. */
struct OwnConnection {
    explicit OwnConnection(test::DrivenRelay& driven)
        : client(driven.context)
    {
        auto acceptor = Tcp::acceptor(driven.context, { driven.loopback, 0 });
        client.connect(acceptor.local_endpoint());
        caller = std::make_shared<CallerConnection>(acceptor.accept(), *driven.relay);
        caller->start();
    }

    Tcp::socket client;
    std::shared_ptr<CallerConnection> caller;
};

/** A relay and a client that has requested an answer of this size. */
struct LargeCall {
    explicit LargeCall(std::size_t bytes)
        : upstream(driven.context, bytes)
    {
        driven.configure(test::oneRoute(false), upstream.list());
        driven.connect(1);
        test::send(driven.clients.front(), request);
    }

    auto client() -> Tcp::socket& { return driven.clients.front(); }

    test::DrivenRelay driven;
    LargeUpstream upstream;
};

} // namespace

TEST_CASE("The last answer to a caller that reads slowly is delivered whole")
{
    auto driven = test::DrivenRelay {};
    auto own = OwnConnection(driven);
    own.caller->write(std::string(largeAnswer, 'x'));
    own.caller->finishAnswer(false);
    own.caller->checkTimes(steadyNow() + 2s);
    auto received = driven.receive(own.client, 20ms).size();
    CHECK(received < largeAnswer);
    own.caller->checkTimes(steadyNow() + 2s);
    received += driven.receive(own.client, 20s).size();
    CHECK(received == largeAnswer);
    own.client.close();
    driven.context.run_for(20ms);
    CHECK(!own.caller->isOpen());
}

TEST_CASE("An answer to a caller that reads nothing is given up after a time, in progress or not")
{
    auto driven = test::DrivenRelay {};
    driven.configure(test::oneRoute(false));
    const auto isLast = GENERATE(false, true);
    auto own = OwnConnection(driven);
    own.caller->write(std::string(largeAnswer, 'x'));
    if (isLast)
        own.caller->finishAnswer(false);
    own.caller->checkTimes(steadyNow() + 14s);
    CHECK(own.caller->isOpen());
    own.caller->checkTimes(steadyNow() + 16s);
    CHECK(!own.caller->isOpen());
}

TEST_CASE(
    "An upstream is not read ahead of a caller that reads slowly, and the answer arrives whole, also late")
{
    auto call = LargeCall(largeAnswer);
    // Beyond the deadline.
    call.driven.context.run_for(1s);
    CHECK(call.upstream.sent < maxUntaken);
    const auto answer = call.driven.receive(call.client(), 20s);
    CHECK(answer.size() > largeAnswer);
    CHECK(call.driven.relay->requestsInProgress() == 0);
}

TEST_CASE("Requests that a caller sends without reading the answers wait for it")
{
    auto driven = test::DrivenRelay {};
    driven.configure(test::oneRoute(true));
    auto own = OwnConnection(driven);
    own.caller->write(std::string(largeAnswer, 'x'));
    own.caller->finishAnswer(true);
    test::send(own.client, request);
    driven.context.run_for(100ms);
    CHECK(driven.relay->requestsInProgress() == 0);
    const auto end = steadyNow() + 5s;
    while (driven.relay->requestsInProgress() == 0 && steadyNow() < end)
        static_cast<void>(driven.receive(own.client, 5ms));
    CHECK(driven.relay->requestsInProgress() == 1);
    own.client.close();
    driven.context.run_for(20ms);
}

TEST_CASE("An answer that was handed over arrives whole although the relay ends before its caller reads it")
{
    auto call = LargeCall(mediumAnswer);
    while (call.upstream.sent < mediumAnswer || call.driven.relay->unfinishedCallers() > 0)
        call.driven.context.run_one_for(10ms);
    call.driven.relay.reset();
    CHECK(call.driven.receive(call.client(), 5s).size() > mediumAnswer);
}

TEST_CASE("A relay counts a caller as unfinished until its answer is handed over")
{
    auto call = LargeCall(largeAnswer);
    call.driven.context.run_for(300ms);
    CHECK(call.driven.relay->unfinishedCallers() == 1);
    CHECK(call.driven.receive(call.client(), 20s).size() > largeAnswer);
    CHECK(call.driven.relay->unfinishedCallers() == 0);
}

TEST_CASE("An answer to a caller that reads nothing for four seconds arrives whole")
{
    const auto size = GENERATE(mediumAnswer, largeAnswer);
    auto call = LargeCall(size);
    call.driven.context.run_for(4s);
    CHECK(call.driven.receive(call.client(), 20s).size() > size);
}
