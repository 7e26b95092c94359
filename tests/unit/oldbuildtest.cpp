#include <filesystem>
#include <fstream>
#include <iterator>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "clock.h"
#include "framereader.h"
#include "peerframe.h"
#include "schedulerthread.h"

#include "../frames/beforehubs_generated.h"

// An upgrade runs old and new builds side by side. The recorded frames were written by the last build before
// hubs, which knows neither addresses nor presence nor failure domains.

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

namespace old = fleet::beforehubs;

using Bytes = std::vector<std::uint8_t>;
using Tcp = boost::asio::ip::tcp;

constexpr auto now = Time { Duration(100s) };

auto recorded(const std::string& name) -> Bytes
{
    auto file = std::ifstream(
        std::filesystem::path(CAMPHORSHUNT_TRACES).parent_path() / "frames" / name, std::ios::binary);
    REQUIRE(file);
    return { std::istreambuf_iterator<char>(file), {} };
}

auto decoded(const std::string& name) -> PeerFrame
{
    auto frame = decodePeerFrame(recorded(name));
    REQUIRE(frame);
    return std::move(frame.value());
}

auto readByOldBuild(const Bytes& bytes) -> const old::Frame&
{
    auto verifier = flatbuffers::Verifier(bytes.data(), bytes.size());
    REQUIRE(old::VerifyFrameBuffer(verifier));
    return *old::GetFrame(bytes.data());
}

const auto hubAddress = RouterAddress { "10.0.0.1:1", 0.25, 1 };
const auto hub = idOf<RouterId>(hubAddress.endpoint);

/** A hub of a large fleet, and an old build on a VM too small for a hub. */
struct HubWithOldBuild {
    HubWithOldBuild()
    {
        for (auto number = std::size_t { 2 }; number < 2 + HubRegistry::maxHubs; ++number)
            hubs.learn({ "10.0.0." + std::to_string(number) + ":1", 0.25, 1 });
        const auto hello = *decoded("before-hubs-hello.bin").hello;
        router = idOf<RouterId>(hello.endpoint);
        hubs.learn({ hello.endpoint, 0.01, 0 });
        REQUIRE(!hubs.isHub(router));
        peers.connected(now, router, hello);
    }

    HubRegistry hubs { hubAddress };
    PeerTable peers;
    RouterId router;
};

/** A scheduler, and a connection to it on which the test is the other router. */
struct ConnectedScheduler : SchedulerThread {
    ConnectedScheduler()
    {
        start();
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), settings.listen.port });
    }

    auto send(const Bytes& body) -> void
    {
        auto bytes = Bytes {};
        appendFrame(bytes, body);
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }
    auto receive() -> Bytes
    {
        while (true) {
            if (const auto body = reader.next(); body && body.value())
                return { body.value()->begin(), body.value()->end() };
            auto input = std::array<std::uint8_t, 1024> {};
            const auto size = socket.read_some(boost::asio::buffer(input));
            reader.append(std::span(input).first(size));
        }
    }

    boost::asio::io_context context;
    Tcp::socket socket { context };
    FrameReader reader;
};

} // namespace

TEST_CASE("Frames of the last build before hubs are read, and what they lack is empty")
{
    const auto hello = *decoded("before-hubs-hello.bin").hello;
    CHECK(hello.endpoint == "127.0.0.1:2");
    CHECK(hello.incarnation == 17);
    CHECK(hello.processorShare == 0.25);
    CHECK(hello.failureDomain == 0);
    const auto beat = decoded("before-hubs-heartbeat.bin");
    REQUIRE(beat.heartbeat);
    CHECK(beat.heartbeat->configurationVersion == 4);
    CHECK(beat.heartbeat->directoryEnd == 99);
    CHECK(beat.heartbeat->storeReachable);
    CHECK(beat.members == std::vector<std::string> { "127.0.0.1:3", "127.0.0.1:4" });
    CHECK(!beat.presence);
    CHECK(beat.addresses.empty());
    const auto work = decoded("before-hubs-work.bin");
    REQUIRE(work.placementRequests.size() == 1);
    CHECK(work.placementRequests[0].request.prompt.parts.size() == 2);
    CHECK(work.placementRequests[0].runningAt == UpstreamId { 12 });
    REQUIRE(work.placementDecisions.size() == 1);
    CHECK(work.placementDecisions[0].inputs.cachedTokens == 300);
    REQUIRE(work.reports.size() == 1);
    CHECK(work.reports[0].kind == PeerReportKind::Ended);
    REQUIRE(work.directory);
    CHECK(work.directory->records.size() == 2);
    CHECK((work.wantsDirectory && work.wantsConfiguration && work.configuration == "{}"));
}

TEST_CASE("The last build before hubs reads today's frames, with all fields that it knows")
{
    auto frame = decoded("before-hubs-work.bin");
    frame.hello = PeerHello { "10.0.0.9:7", 5, 0.5, 77 };
    frame.members = { "10.0.0.1:1" };
    frame.heartbeat = PeerHeartbeat { 4, 99, true, true };
    frame.addresses = { hubAddress, hubAddress };
    frame.presence = PeerPresence { 300, 1000ms, 20ms, true };
    frame.clock = PeerClock { 5, 6, 7us };
    const auto bytes = encodePeerFrame(frame);
    const auto& read = readByOldBuild(bytes);
    CHECK(read.hello()->endpoint()->str() == "10.0.0.9:7");
    CHECK(read.hello()->processor_share() == 0.5F);
    CHECK(read.members()->size() == 1);
    CHECK((read.beat()->configuration() == 4 && read.beat()->leaving()));
    CHECK(read.places()->Get(0)->parts()->Get(1)->tokens() == 200);
    CHECK(read.places()->Get(0)->started());
    CHECK(read.verdicts()->Get(0)->kept_tokens() == 300);
    CHECK(read.reports()->Get(0)->number() == 23);
    CHECK(read.directory()->records()->Get(0)->key()->str() == "i-1");
    CHECK((read.wants_directory() && read.wants_configuration() && read.configuration()->str() == "{}"));
}

TEST_CASE("An old build that connects gets plain addresses, as it does not read others, and stays connected")
{
    auto scheduler = ConnectedScheduler();
    scheduler.send(recorded("before-hubs-hello.bin"));
    const auto hello = scheduler.receive();
    REQUIRE(readByOldBuild(hello).hello() != nullptr);
    const auto greeting = scheduler.receive();
    const auto& read = readByOldBuild(greeting);
    REQUIRE(read.beat() != nullptr);
    REQUIRE(read.members() != nullptr);
    CHECK(read.members()->size() == 2);
    scheduler.send(recorded("before-hubs-heartbeat.bin"));
    scheduler.send(recorded("before-hubs-work.bin"));
    auto frames = 0;
    for (const auto end = steadyNow() + 600ms; steadyNow() < end;) {
        const auto body = scheduler.receive();
        static_cast<void>(readByOldBuild(body));
        ++frames;
    }
    CHECK(frames >= 4);
}

// It counts a router as silent after 420 ms, and got a heartbeat a second from hubs once the fleet was large.
TEST_CASE("An old build gets and is expected to send frequent heartbeats, also when it is no hub")
{
    auto fleet = HubWithOldBuild();
    auto received = 0;
    for (auto time = now; time < now + 1s; time += 10ms) {
        fleet.peers.updateLastSeen(time, fleet.router, std::nullopt);
        for (const auto& [router, interval] : fleet.peers.takeDueHeartbeats(time, fleet.hubs, hub)) {
            CHECK(interval == PeerTable::frequentInterval);
            ++received;
        }
    }
    CHECK(received >= 8);
    CHECK(fleet.peers.checkSilence(now + 1s + PeerTable::silenceLimit).silent.size() == 1);
}

// No hub passes updates on to it, as it does not say on whom it depends.
TEST_CASE("The store's reader sends updates to old builds itself, and other hubs do not repeat them")
{
    const auto fleet = HubWithOldBuild();
    CHECK(fleet.peers.updateTargets(fleet.hubs, true) == std::vector { fleet.router });
    CHECK(fleet.peers.updateTargets(fleet.hubs, false).empty());
}

TEST_CASE("An old build that reads the store confirms a configuration, and one without the store does not")
{
    auto log = RouterLog {};
    auto registry = prometheus::Registry {};
    auto metrics = RouterMetrics { registry };
    auto sync = FleetSync(hubAddress,
        { .send = [](Time, RouterId, const PeerFrame&) {},
            .publish = [](Time, const PeerFrame&) {},
            .forward = [](Time, const PeerFrame&) {},
            .callStore = [](const SchedulerToStore&) {},
            .onFleetChanged = [](Time) {},
            .onStoreReachabilityChanged = [](Time) {},
            .onStoreReturned = [](Time) {} },
        log, metrics);
    const auto reader = idOf<RouterId>("127.0.0.1:2");
    sync.setFeed(reader, false);
    auto beat = decoded("before-hubs-heartbeat.bin");
    beat.heartbeat->configurationVersion = 0;
    beat.heartbeat->storeReachable = false;
    sync.handleFrame(now, reader, beat, now);
    CHECK(sync.configurationConfirmedAt() == Time {});
    beat.heartbeat->storeReachable = true;
    sync.handleFrame(now, reader, beat, now);
    CHECK(sync.configurationConfirmedAt() == now);
}
