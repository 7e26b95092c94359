#include "platform/storeclient.h"

#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

/** A store whose answer never ends: `pause` between pieces of `size` bytes. */
struct EndlessStore {
    EndlessStore(boost::asio::io_context& context, std::chrono::milliseconds between, std::size_t size)
        : acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , socket(context)
        , timer(context)
        , pause(between)
        , piece(size, ' ')
    {
        acceptor.async_accept(
            socket, [this](const boost::system::error_code&) { send("HTTP/1.1 200 OK\r\n\r\n"); });
    }

    auto send(std::string_view bytes) -> void
    {
        boost::asio::async_write(socket, boost::asio::buffer(bytes),
            [this](const boost::system::error_code& error, std::size_t size) {
                sent += size;
                closed = static_cast<bool>(error);
                if (closed)
                    return;
                timer.expires_after(pause);
                timer.async_wait([this](const boost::system::error_code&) { send(piece); });
            });
    }

    Tcp::acceptor acceptor;
    Tcp::socket socket;
    boost::asio::steady_timer timer;
    std::chrono::milliseconds pause;
    std::string piece;
    std::size_t sent = 0;
    bool closed = false;
};

struct Outcome {
    bool ended = false;
    bool failed = false;
    std::size_t sent = 0;
};

auto readFrom(std::chrono::milliseconds pause, std::size_t size) -> Outcome
{
    auto context = boost::asio::io_context {};
    auto store = EndlessStore(context, pause, size);
    auto client = platform::StoreClient(context, { "127.0.0.1", store.acceptor.local_endpoint().port() });
    auto outcome = Outcome {};
    client.readNewest("keyed.op", "", [&outcome](const Result<platform::KeyedPage>& page) {
        outcome.ended = true;
        outcome.failed = !page;
    });
    const auto deadline = std::chrono::steady_clock::now() + 6s;
    while (!store.closed && std::chrono::steady_clock::now() < deadline)
        context.run_one_for(100ms);
    outcome.sent = store.sent;
    return outcome;
}

} // namespace

// A call was given up only after a pause between two bytes, and the reader of the store waited for it for
// good.
TEST_CASE("A store that trickles an answer without end does not hold up its reader")
{
    const auto outcome = readFrom(100ms, 1);
    CHECK(outcome.ended);
    CHECK(outcome.failed);
}

TEST_CASE("An answer of the store without end is given up before it fills the memory of a small VM")
{
    const auto outcome = readFrom(0ms, 16384);
    CHECK(outcome.ended);
    CHECK(outcome.failed);
    CHECK(outcome.sent < std::size_t { 16 } * 1024 * 1024);
}
