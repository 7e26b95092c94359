#include "platform/storeclient.h"

#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "httptestsupport.h"
#include "invalidheads.h"

using namespace camphorshunt;
using namespace camphorshunt::net::test;
using namespace std::chrono_literals;

namespace {

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

/** Whether a read and a write succeed at a store that answers with these bytes. */
auto succeeds(const std::string& answer, ConnectionEnd end) -> std::pair<bool, bool>
{
    auto context = boost::asio::io_context {};
    const auto reading = RawServer(context, answer, end);
    const auto writing = RawServer(context, answer, end);
    auto reader = platform::StoreClient(context, reading.endpoint());
    auto writer = platform::StoreClient(context, writing.endpoint());
    auto isRead = std::optional<bool> {};
    auto isWritten = std::optional<bool> {};
    reader.readNewest(
        "keyed.op", "", [&isRead](const Result<platform::KeyedPage>& page) { isRead = page.has_value(); });
    writer.put(
        "keyed.op", "key", "value", [&isWritten](const Result<void>& done) { isWritten = done.has_value(); });
    REQUIRE(runUntil(context, [&] { return isRead && isWritten; }));
    return { *isRead, *isWritten };
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

TEST_CASE("A call of the store succeeds only with a complete answer")
{
    const auto page = std::string(R"({"items":[],"has_more":false,"end":0})");
    const auto head = std::string("HTTP/1.1 200 OK\r\n");
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n25\r\n" + page + "\r\n";
    const auto tooShort = head + "Content-Length: 38\r\n\r\n" + page;
    const auto unframed = head + "\r\n" + page;
    REQUIRE(page.size() == 37);
    const auto both = std::pair(true, true);
    const auto neither = std::pair(false, false);
    CHECK(succeeds(head + "Content-Length: 37\r\n\r\n" + page, ConnectionEnd::None) == both);
    CHECK(succeeds(chunked + "0\r\n\r\n", ConnectionEnd::None) == both);
    for (const auto end : { ConnectionEnd::InOrder, ConnectionEnd::Reset }) {
        CHECK(succeeds(tooShort, end) == neither);
        CHECK(succeeds(chunked, end) == neither);
        CHECK(succeeds(unframed, end) == neither);
    }
}

TEST_CASE("A call of the store that is answered with what is no answer fails")
{
    for (const auto& answers : { test::answersOfInvalidStatusLine(""), test::answersOfInvalidFields(""),
             test::answersOfUnknownCoding("") }) {
        for (const auto& invalid : answers) {
            CAPTURE(invalid.name);
            const auto end = invalid.ends ? ConnectionEnd::InOrder : ConnectionEnd::None;
            CHECK(succeeds(invalid.text, end) == std::pair(false, false));
        }
    }
}
