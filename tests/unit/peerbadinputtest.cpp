#include <cmath>
#include <limits>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "framecodec.h"
#include "peermesh.h"
#include "peertable.h"
#include "placementcoordinator.h"
#include "schedulerthread.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

using Bytes = std::vector<std::uint8_t>;
using Tcp = boost::asio::ip::tcp;

constexpr auto now = Time { Duration(100s) };
const auto peer = RouterId { 9 };

auto accepts(const PeerFrame& frame) -> bool
{
    return static_cast<bool>(decodePeerFrame(encodePeerFrame(frame)));
}

auto requestFor(std::string_view service, std::uint64_t number) -> PeerPlacementRequest
{
    auto placement = PeerPlacementRequest {};
    placement.request.key.number = number;
    placement.request.service = idOf<ServiceId>(service);
    placement.request.prompt.tokens = 10;
    placement.goalLeft = 800ms;
    placement.deadlineLeft = 5s;
    return placement;
}

/** A router that listens for peers, and two connections of which the first is a peer's. */
struct ListeningMesh {
    ListeningMesh()
    {
        const auto port = freePort();
        const auto endpoint = Endpoint { "127.0.0.1", port };
        plan = std::make_unique<MeshPlan>(PeerHello { endpoint.text(), 1, 0.5, 1 });
        auto listening = PeerMesh::listen(context, endpoint, *plan,
            { .onConnected = [this](RouterId, const PeerHello&) { ++connected; },
                .onDisconnected = [this](RouterId, std::string_view reason) { lost = reason; },
                .onFrame = [this](RouterId, const PeerFrame&) { ++frames; },
                .onRefused = [](RouterId) {},
                .onMalformed = [this](std::string_view reason) { malformed = reason; } });
        REQUIRE(listening);
        mesh = std::move(listening.value());
        for (auto* socket : { &first, &second })
            socket->connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        auto hello = PeerFrame {};
        hello.hello = PeerHello { "127.0.0.1:2", 2, 0.5, 1 };
        sendFrame(first, encodePeerFrame(hello));
        run();
        REQUIRE(connected == 1);
    }

    auto sendFrame(Tcp::socket& socket, const Bytes& body) -> void
    {
        auto bytes = Bytes {};
        appendFrame(bytes, body);
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }
    auto sendLength(Tcp::socket& socket, std::uint32_t length) -> void
    {
        auto header = Bytes {};
        for (auto shift = 0U; shift < 32; shift += 8)
            header.push_back(static_cast<std::uint8_t>(length >> shift));
        boost::asio::write(socket, boost::asio::buffer(header));
    }
    auto run() -> void
    {
        context.restart();
        context.run_for(100ms);
    }

    boost::asio::io_context context;
    std::unique_ptr<MeshPlan> plan;
    std::unique_ptr<PeerMesh> mesh;
    Tcp::socket first { context };
    Tcp::socket second { context };
    int connected = 0;
    int frames = 0;
    std::string lost;
    std::string malformed;
};

} // namespace

TEST_CASE("A frame with a share, a time or a number of routers that cannot be is refused")
{
    auto frame = PeerFrame {};
    for (const auto share : { -1.0, 5000.0, std::nan(""), std::numeric_limits<double>::infinity() }) {
        frame.hello = PeerHello { "10.0.0.2:7", 1, share, 1 };
        CHECK(!accepts(frame));
        frame.hello.reset();
        frame.addresses = { { "10.0.0.2:7", share, 1 } };
        CHECK(!accepts(frame));
        frame.addresses.clear();
    }
    frame.presence = PeerPresence { 4000000000U, 120ms, {}, false };
    CHECK(!accepts(frame));
    frame.presence->routers = 1000;
    CHECK(accepts(frame));
    frame.placementRequests = { requestFor("model", 1) };
    CHECK(accepts(frame));
    frame.placementRequests[0].deadlineLeft = Duration::max();
    CHECK(!accepts(frame));
    frame.placementRequests[0] = requestFor("model", 1);
    frame.placementRequests[0].goalLeft = Duration::min();
    CHECK(!accepts(frame));
}

// Each unknown service got a placer of its own, without bound.
TEST_CASE(
    "An age of more than 49 days, as of news never confirmed on a VM that runs long, does not look young")
{
    constexpr auto age = std::chrono::milliseconds(std::chrono::hours(24) * 50);
    auto frame = PeerFrame {};
    frame.presence = PeerPresence { 3, 120ms, age, false };
    frame.directory = DirectoryPage { true, 0, 1, {}, age };
    const auto decoded = decodePeerFrame(encodePeerFrame(frame));
    REQUIRE(decoded);
    CHECK(decoded.value().presence->configurationAge > 24h);
    CHECK(decoded.value().directory->age > 24h);
}

TEST_CASE("A frame with a clock value held for more than a day is refused")
{
    auto frame = PeerFrame {};
    frame.clock = PeerClock { 7, 5, 25h };
    CHECK(!decodePeerFrame(encodePeerFrame(frame)));
    frame.clock->held = 20ms;
    const auto decoded = decodePeerFrame(encodePeerFrame(frame));
    REQUIRE((decoded && decoded.value().clock));
    CHECK(decoded.value().clock->sent == 7);
    CHECK(decoded.value().clock->echoed == 5);
    CHECK(decoded.value().clock->held == Duration(20ms));
}

TEST_CASE("Requests for services that do not exist are refused and named once a frame, and nothing is kept")
{
    auto coordinator = PlacementCoordinator(RouterId { 1 }, {});
    auto frame = PeerFrame {};
    for (auto number = std::uint64_t { 1 }; number <= 500; ++number) {
        frame.placementRequests.push_back(requestFor("none-" + std::to_string(number), number));
        frame.reports.push_back(
            { number, idOf<ServiceId>("gone"), PeerReportKind::Ended, PlacementEnd::Finished });
    }
    coordinator.handleFrame(now, peer, frame);
    coordinator.placeWaiting(now);
    auto outputs = coordinator.takeOutputs();
    CHECK(coordinator.ownedServices() == 0);
    CHECK(outputs.placerChanges.empty());
    CHECK(outputs.unknownServices.size() == 1);
    REQUIRE(outputs.frames[peer].placementDecisions.size() == 500);
    CHECK(outputs.frames[peer].placementDecisions[0].reason == RefusalReason::NoUpstream);
    CHECK(!outputs.frames[peer].placementDecisions[0].upstream);
}

TEST_CASE("A frame over the bound closes its own connection only, with a reason, before and after the hello")
{
    auto mesh = ListeningMesh();
    mesh.sendLength(mesh.second, maxFrameBytes + 1);
    mesh.run();
    CHECK(!mesh.malformed.empty());
    CHECK(mesh.lost.empty());
    mesh.sendFrame(mesh.first, encodePeerFrame({}));
    mesh.run();
    CHECK(mesh.frames == 1);
    mesh.sendLength(mesh.first, maxFrameBytes + 1);
    mesh.run();
    CHECK(!mesh.lost.empty());
    CHECK(mesh.plan->hubs().knows(idOf<RouterId>("127.0.0.1:2")));
}

TEST_CASE("A connection that begins with something other than a hello is closed with a reason")
{
    auto mesh = ListeningMesh();
    mesh.sendFrame(mesh.second, encodePeerFrame({}));
    mesh.run();
    CHECK(mesh.malformed == "first frame is not a hello");
}

TEST_CASE("Heartbeats whose counters go back do not make a peer silent or lost")
{
    auto peers = PeerTable {};
    peers.connected(now, peer, { "10.0.0.2:7", 1, 0.5, 1 });
    peers.updateLastSeen(now, peer, PeerHeartbeat { 9, 500, true, false });
    CHECK(!peers.updateLastSeen(now + 100ms, peer, PeerHeartbeat { 2, 10, true, false }));
    CHECK(peers.liveCount() == 1);
    CHECK(peers.reachesStore(peer));
}
