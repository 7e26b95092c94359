#include "routerfleet.h"

#include <signal.h>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

/** A request whose body arrives slowly, on a connection of its own. */
class SlowCall {
public:
    SlowCall(const Endpoint& endpoint, const net::HttpRequest& request)
        : text_(request.method + ' ' + request.target + " HTTP/1.1\r\nContent-Length: 2\r\n")
        , socket_(context_)
    {
        for (const auto& header : request.headers)
            text_ += header.name + ": " + header.value + "\r\n";
        text_ += "\r\nx";
        socket_.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
    }

    auto sendAllButOneByte() -> void { boost::asio::write(socket_, boost::asio::buffer(text_)); }
    auto sendLastByte() -> void { boost::asio::write(socket_, boost::asio::buffer("y", 1)); }
    /** Of the complete answer; 0 if the connection ended before it was. */
    auto status() -> unsigned
    {
        auto buffer = boost::beast::flat_buffer {};
        auto answer = boost::beast::http::response<boost::beast::http::string_body> {};
        auto error = boost::beast::error_code {};
        boost::beast::http::read(socket_, buffer, answer, error);
        return error ? 0 : answer.result_int();
    }

private:
    std::string text_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
};

} // namespace

TEST_CASE("A stopping router reports not ready immediately, finishes its streams and refuses late ones")
{
    auto options = RouterFleet::Options {};
    options.routers = 2;
    options.engineFlags = { "--slots=8", "--token_ms=100" };
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto watched = WatchedCall(fleet.router(0).callers, RouterFleet::stream("stream", 25));
    REQUIRE(watched.waitFor("id: 2\n"));
    fleet.router(0).process->signal(SIGTERM);
    CHECK(eventually([&] { return !fleet.isReady(0); }, 1s));
    std::this_thread::sleep_for(2600ms);
    const auto late = call(fleet.router(0).callers, RouterFleet::stream("stream", 50));
    CHECK(late.status == 503);
    CHECK(isOwn(late));
    const auto answer = watched.finish();
    CHECK(answer.isComplete());
    CHECK(answer.body.find("id: 25\n") != std::string::npos);
    CHECK(fleet.router(0).process->wait() == 0);
}

TEST_CASE("A stopping router refuses a request that it could not finish before its end")
{
    auto options = RouterFleet::Options {};
    options.engineFlags = { "--slots=8", "--token_ms=100" };
    options.plainFlags = { "--call_ms=1200" };
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto& router = fleet.router(0);
    auto unfinished = WatchedCall(
        router.callers, withHeader(RouterFleet::stream("stream", 1000), "X-Deadline-Ms", "20000"));
    REQUIRE(unfinished.waitFor("id: 2\n"));
    auto late = SlowCall(router.callers, RouterFleet::request("book", "POST"));
    router.process->signal(SIGTERM);
    std::this_thread::sleep_for(2s);
    late.sendAllButOneByte();
    std::this_thread::sleep_for(2900ms);
    late.sendLastByte();
    CHECK(late.status() == 503);
    CHECK(fleet.totalRuns() == 1);
    CHECK(router.process->wait() == 0);
}

TEST_CASE("A router that is told to stop ends before it would be killed, whatever still runs")
{
    auto options = RouterFleet::Options {};
    options.engineFlags = { "--slots=8", "--token_ms=100" };
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto watched = WatchedCall(
        fleet.router(0).callers, withHeader(RouterFleet::stream("stream", 1000), "X-Deadline-Ms", "20000"));
    REQUIRE(watched.waitFor("id: 2\n"));
    const auto begin = std::chrono::steady_clock::now();
    fleet.router(0).process->signal(SIGTERM);
    CHECK(fleet.router(0).process->wait() == 0);
    // The test fleet sets `stopSeconds` to 6.
    CHECK(std::chrono::steady_clock::now() - begin < 6000ms);
    CHECK(!watched.finish().isComplete());
}

TEST_CASE("Requests are served after the router that places them was killed or suspended")
{
    auto options = RouterFleet::Options {};
    options.routers = 3;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    const auto signal = GENERATE(SIGKILL, SIGSTOP);
    for (auto victim = std::size_t { 0 }; victim < 2; ++victim) {
        fleet.router(victim).process->signal(signal);
        std::this_thread::sleep_for(600ms);
        const auto answer = call(fleet.router(2).callers, RouterFleet::stream("stream", 5));
        CHECK(answer.status == 200);
        CHECK(answer.isComplete());
    }
    if (signal == SIGSTOP) {
        for (auto victim = std::size_t { 0 }; victim < 2; ++victim)
            fleet.router(victim).process->signal(SIGCONT);
    }
}
