#include "peertransport.h"

#include <algorithm>
#include <chrono>
#include <map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "framecodec.h"
#include "framereader.h"
#include "handshake.h"

using namespace camphorshunt;
using boost::asio::ip::tcp;

namespace {

/** Two router names; the first has the smaller id, so that it dials. */
const auto names = [] {
    auto pair = std::pair<std::string, std::string> { "r1", "r2" };
    if (hashName(pair.first) > hashName(pair.second))
        std::swap(pair.first, pair.second);
    return pair;
}();
const auto diallerId = idOf<RouterId>(names.first);
const auto acceptorId = idOf<RouterId>(names.second);

/** A transport that records all calls of its handlers. */
struct Node {
    Node(boost::asio::io_context& context, const std::string& name, std::uint64_t incarnation = 1,
        const std::string& key = "key", std::uint16_t port = 0)
    {
        auto handlers = PeerTransport::Handlers {
            .onConnected =
                [this](RouterId router, Incarnation remoteIncarnation) {
                    CHECK(!connected.contains(router));
                    connected[router] = remoteIncarnation;
                    ++connects;
                },
            .onDisconnected = [this](RouterId router) { CHECK(connected.erase(router) == 1); },
            .onMessage = [this](RouterId, PeerMessage message) { messages.push_back(std::move(message)); },
            .onLog = [this](LogLevel, const std::string& event,
                         const std::vector<LogField>&) { events.push_back(event); },
        };
        const auto settings = PeerTransport::Settings { name, { incarnation }, { "127.0.0.1", port }, key };
        transport = std::move(PeerTransport::listen(context, settings, std::move(handlers)).value());
    }

    auto hasLogged(const std::string& event) const -> bool { return std::ranges::count(events, event) > 0; }

    std::map<RouterId, Incarnation> connected;
    std::size_t connects {};
    std::vector<PeerMessage> messages;
    std::vector<std::string> events;
    std::unique_ptr<PeerTransport> transport;
};

/** Runs the context until the condition holds, for 60 s at most. */
template <typename Condition> auto reached(boost::asio::io_context& context, Condition condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!condition() && std::chrono::steady_clock::now() < end)
        context.run_one_for(std::chrono::milliseconds(20));
    return condition();
}

struct Pair {
    explicit Pair(boost::asio::io_context& context)
        : dialler(context, names.first)
        , acceptor(context, names.second)
    {
        acceptor.transport->keepConnected(diallerId, dialler.transport->endpoint());
        dialler.transport->keepConnected(acceptorId, acceptor.transport->endpoint());
    }

    auto bothConnected() const -> bool
    {
        return dialler.connected.contains(acceptorId) && acceptor.connected.contains(diallerId);
    }

    Node dialler;
    Node acceptor;
};

/** A dialler driven by the test, for behaviour that a correct peer never shows. */
class RawPeer {
public:
    RawPeer(boost::asio::io_context& context, const Endpoint& endpoint)
        : socket_(context)
    {
        socket_.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
    }

    auto write(std::span<const std::uint8_t> bytes) -> void
    {
        boost::asio::write(socket_, boost::asio::buffer(bytes.data(), bytes.size()));
    }

    /** Performs the dialler's part of the handshake while the context runs; does not read the acceptor's
     * proof. */
    auto shakeHands(boost::asio::io_context& context, const std::string& key = "key") -> void
    {
        const auto own = Hello { names.first, { 1 }, randomChallenge().value() };
        write(encodeHello(own));
        auto head = std::array<std::uint8_t, helloHeadBytes> {};
        readAll(context, head);
        auto remote = Hello {};
        remote.name.resize(decodeHelloHead(head, remote).value());
        readAll(context, { reinterpret_cast<std::uint8_t*>(remote.name.data()), remote.name.size() });
        write(proveHello(key, HandshakeRole::Dialler, own, remote));
    }

    /** True once the other side has closed the connection; discards received bytes. */
    auto isClosed() -> bool
    {
        socket_.non_blocking(true);
        auto code = boost::system::error_code {};
        auto sink = std::array<std::uint8_t, 4096> {};
        while (!code)
            socket_.read_some(boost::asio::buffer(sink), code);
        return code != boost::asio::error::would_block;
    }

private:
    auto readAll(boost::asio::io_context& context, std::span<std::uint8_t> bytes) -> void
    {
        auto done = false;
        boost::asio::async_read(socket_, boost::asio::buffer(bytes.data(), bytes.size()),
            [&done](const boost::system::error_code&, std::size_t) { done = true; });
        REQUIRE(reached(context, [&] { return done; }));
    }

    tcp::socket socket_;
};

auto framed(std::span<const std::uint8_t> body) -> std::vector<std::uint8_t>
{
    auto bytes = std::vector<std::uint8_t> {};
    appendFrame(bytes, body);
    return bytes;
}

} // namespace

TEST_CASE("Two routers connect and exchange messages in both directions")
{
    auto context = boost::asio::io_context {};
    auto pair = Pair(context);
    REQUIRE(reached(context, [&] { return pair.bothConnected(); }));
    CHECK(pair.acceptor.connected.at(diallerId).value == 1);

    pair.dialler.transport->send(acceptorId, ClaimsRequest { "a" });
    pair.acceptor.transport->send(diallerId, ClaimsTransfer { "b", { 1 }, std::string(3000000, 'x') });
    REQUIRE(
        reached(context, [&] { return !pair.dialler.messages.empty() && !pair.acceptor.messages.empty(); }));
    CHECK(std::get<ClaimsRequest>(pair.acceptor.messages[0]).stream == "a");
    CHECK(std::get<ClaimsTransfer>(pair.dialler.messages[0]).snapshot.size() == 3000000);
    CHECK(pair.dialler.transport->traffic().framesIn == 1);
    CHECK(pair.dialler.transport->traffic().bytesIn > 3000000);

    pair.dialler.transport->keepConnected(acceptorId, {});
    CHECK(pair.dialler.connected.empty());
    CHECK(reached(context, [&] { return pair.acceptor.connected.empty(); }));
}

TEST_CASE("Routers with different shared keys do not connect")
{
    auto context = boost::asio::io_context {};
    auto dialler = Node(context, names.first, 1, "another");
    auto acceptor = Node(context, names.second);
    dialler.transport->keepConnected(acceptorId, acceptor.transport->endpoint());
    CHECK(reached(
        context, [&] { return acceptor.hasLogged("peer-refused") || dialler.hasLogged("peer-refused"); }));
    CHECK(dialler.connects + acceptor.connects == 0);

    auto stranger = RawPeer(context, acceptor.transport->endpoint());
    stranger.shakeHands(context, "guess");
    CHECK(reached(context, [&] { return stranger.isClosed(); }));
    CHECK(acceptor.connects == 0);
}

TEST_CASE("A malformed frame is counted and closes only its own connection")
{
    auto context = boost::asio::io_context {};
    auto acceptor = Node(context, names.second);
    const auto noise = std::vector<std::uint8_t>(40, 0xab);
    const auto tooLong = std::vector<std::uint8_t> { 0xff, 0xff, 0xff, 0x7f };
    for (const auto& bytes : { framed(noise), tooLong }) {
        const auto before = acceptor.transport->traffic().malformed;
        auto peer = RawPeer(context, acceptor.transport->endpoint());
        peer.shakeHands(context);
        REQUIRE(reached(context, [&] { return acceptor.connected.contains(diallerId); }));
        peer.write(bytes);
        CHECK(reached(context, [&] { return peer.isClosed() && acceptor.connected.empty(); }));
        CHECK(acceptor.transport->traffic().malformed == before + 1);
    }
    CHECK(acceptor.hasLogged("peer-malformed"));

    auto stranger = RawPeer(context, acceptor.transport->endpoint());
    stranger.write(std::vector<std::uint8_t>(100, 'G'));
    CHECK(reached(context, [&] { return stranger.isClosed(); }));

    auto dialler = Node(context, names.first);
    dialler.transport->keepConnected(acceptorId, acceptor.transport->endpoint());
    REQUIRE(reached(context, [&] { return dialler.connected.contains(acceptorId); }));
    auto noisy = RawPeer(context, acceptor.transport->endpoint());
    noisy.write(std::vector<std::uint8_t>(100, 'G'));
    CHECK(reached(context, [&] { return noisy.isClosed(); }));
    dialler.transport->send(acceptorId, ClaimsRequest { "still" });
    CHECK(reached(context, [&] { return !acceptor.messages.empty(); }));
    CHECK(dialler.connects == 1);
}

TEST_CASE("A restarted router is reconnected under its new incarnation")
{
    auto context = boost::asio::io_context {};
    auto dialler = Node(context, names.first);
    auto acceptor = std::make_unique<Node>(context, names.second, 1);
    const auto endpoint = acceptor->transport->endpoint();
    dialler.transport->keepConnected(acceptorId, endpoint);
    REQUIRE(reached(context, [&] { return dialler.connected.contains(acceptorId); }));
    acceptor.reset();
    REQUIRE(reached(context, [&] { return dialler.connected.empty(); }));
    acceptor = std::make_unique<Node>(context, names.second, 2, "key", endpoint.port);
    REQUIRE(reached(context, [&] { return dialler.connected.contains(acceptorId); }));
    CHECK(dialler.connected.at(acceptorId).value == 2);
}

TEST_CASE("A second authenticated connection replaces the first, reported as disconnected, then connected")
{
    auto context = boost::asio::io_context {};
    auto acceptor = Node(context, names.second);
    auto first = RawPeer(context, acceptor.transport->endpoint());
    first.shakeHands(context);
    REQUIRE(reached(context, [&] { return acceptor.connects == 1; }));
    auto second = RawPeer(context, acceptor.transport->endpoint());
    second.shakeHands(context);
    REQUIRE(reached(context, [&] { return acceptor.connects == 2; }));
    CHECK(reached(context, [&] { return first.isClosed(); }));
    CHECK(!second.isClosed());
}

TEST_CASE("A connection whose peer sends nothing is closed after the silence timeout")
{
    auto context = boost::asio::io_context {};
    auto acceptor = Node(context, names.second);
    auto silent = RawPeer(context, acceptor.transport->endpoint());
    silent.shakeHands(context);
    REQUIRE(reached(context, [&] { return acceptor.connected.contains(diallerId); }));
    CHECK(reached(context, [&] { return acceptor.connected.empty(); }));
    CHECK(reached(context, [&] { return silent.isClosed(); }));
}

TEST_CASE("Empty frames keep idle connections open")
{
    auto context = boost::asio::io_context {};
    auto pair = Pair(context);
    REQUIRE(reached(context, [&] { return pair.bothConnected(); }));
    const auto before = pair.dialler.transport->traffic().bytesIn;
    // At one frame per 500 ms, six frames take longer than the silence timeout of 2 s.
    CHECK(reached(
        context, [&] { return pair.dialler.transport->traffic().bytesIn >= before + 6 * frameHeaderBytes; }));
    CHECK(pair.bothConnected());
    CHECK(pair.dialler.connects == 1);
    CHECK(pair.dialler.transport->traffic().framesIn == 0);
}

TEST_CASE("Half-open connections are limited and do not prevent a router from connecting")
{
    auto context = boost::asio::io_context {};
    auto acceptor = Node(context, names.second);
    auto flood = std::vector<std::unique_ptr<RawPeer>> {};
    for (auto count = 0; count < 80; ++count)
        flood.push_back(std::make_unique<RawPeer>(context, acceptor.transport->endpoint()));
    auto dialler = Node(context, names.first);
    dialler.transport->keepConnected(acceptorId, acceptor.transport->endpoint());
    CHECK(reached(context, [&] { return acceptor.connected.contains(diallerId); }));
    CHECK(acceptor.hasLogged("peer-half-open-limit"));
    CHECK(reached(context,
        [&] { return std::ranges::all_of(flood, [](const auto& peer) { return peer->isClosed(); }); }));
    CHECK(acceptor.connected.contains(diallerId));
}

TEST_CASE("A connection whose peer does not read is closed at the limit of unsent bytes")
{
    auto context = boost::asio::io_context {};
    auto acceptor = Node(context, names.second);
    auto stuck = RawPeer(context, acceptor.transport->endpoint());
    stuck.shakeHands(context);
    REQUIRE(reached(context, [&] { return acceptor.connected.contains(diallerId); }));
    const auto big = ClaimsTransfer { "b", { 1 }, std::string(7000000, 'x') };
    for (auto sent = 0; sent < 10 && !acceptor.connected.empty(); ++sent)
        acceptor.transport->send(diallerId, big);
    CHECK(acceptor.connected.empty());
}

TEST_CASE("A transport requires a name, a shared key and a numeric IP address")
{
    auto context = boost::asio::io_context {};
    const auto listens = [&](const std::string& name, const std::string& key, const std::string& address) {
        auto settings = PeerTransport::Settings {};
        settings.name = name;
        settings.sharedKey = key;
        settings.listen.address = address;
        return PeerTransport::listen(context, settings, {}).has_value();
    };
    CHECK(listens("r1", "key", "127.0.0.1"));
    CHECK(!listens("", "key", "127.0.0.1"));
    CHECK(!listens("r1", "", "127.0.0.1"));
    CHECK(!listens("r1", "key", "localhost"));
}
