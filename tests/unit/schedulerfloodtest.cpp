#include "schedulerthread.h"

#include <ctime>
#include <pthread.h>
#include <thread>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "clock.h"
#include "framereader.h"
#include "simulatedstore.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr auto engineCount = std::size_t { 140 };
constexpr auto peerCount = std::size_t { 40 };
constexpr auto requestsOfPeer = std::uint64_t { 60 };
/** Processor time of a VM with 0.12 of a core within 2 s, the time for a change to be in force. */
constexpr auto processorBound = Duration(240ms);

/** A router at the other end of a connection to the scheduler; the test writes its frames. */
class FakePeer {
public:
    FakePeer(boost::asio::io_context& context, const Endpoint& scheduler, std::size_t number)
        : socket_(context)
    {
        socket_.connect({ boost::asio::ip::make_address(scheduler.address), scheduler.port });
        auto frame = PeerFrame {};
        frame.hello = PeerHello { "127.0.0.1:" + std::to_string(1 + number), number, 0.01 };
        send(frame);
    }

    auto send(const PeerFrame& frame) -> void
    {
        auto bytes = std::vector<std::uint8_t> {};
        appendFrame(bytes, encodePeerFrame(frame));
        boost::asio::write(socket_, boost::asio::buffer(bytes));
    }

    auto sendRequests(std::uint64_t number) -> void
    {
        auto bytes = std::vector<std::uint8_t> {};
        for (auto index = std::uint64_t { 1 }; index <= requestsOfPeer; ++index) {
            auto placement = PeerPlacementRequest {};
            auto& request = placement.request;
            request.key.number = index;
            request.service = idOf<ServiceId>("model");
            request.organisation = { 1 + (number + index) % 30 };
            request.prompt.tokens = 12000;
            request.prompt.outputLimit = 400;
            request.prompt.parts
                = { { 1, 512 }, { 100 + (number * index) % 979, 4870 }, { index << 32U | number, 6618 } };
            placement.goalLeft = 5s;
            placement.deadlineLeft = 12s;
            auto frame = PeerFrame {};
            frame.placementRequests.push_back(std::move(placement));
            appendFrame(bytes, encodePeerFrame(frame));
        }
        boost::asio::write(socket_, boost::asio::buffer(bytes));
    }

private:
    Tcp::socket socket_;
};

/** A scheduler on a thread of its own with 40 peers, of which the first passes on what it reads of the store.
 */
struct FloodedScheduler : SchedulerThread {
    FloodedScheduler()
    {
        toRelay.onItem([this](SchedulerToRelay item) {
            if (auto* const changed = std::get_if<FleetChanged>(&item))
                fleet = *changed;
        });
        start();
        for (auto index = std::size_t { 0 }; index < peerCount; ++index)
            peers.push_back(std::make_unique<FakePeer>(peerContext, settings.listen, index));
        auto frame = PeerFrame {};
        frame.configuration = load::SimulatedStore::configuration(1);
        frame.directory = DirectoryPage { true, 0, engineCount, {} };
        for (auto index = std::size_t { 0 }; index < engineCount; ++index)
            frame.directory->records.push_back(load::SimulatedStore::directoryRecord(index, "ready"));
        peers.front()->send(frame);
        REQUIRE(waitFor([this] { return fleet.upstreams && fleet.upstreams->size() == engineCount; }));
    }

    /** Handles messages to the relay until the condition holds; false after 20 s. */
    template <typename Condition> auto waitFor(Condition condition) -> bool
    {
        const auto end = steadyNow() + 20s;
        while (!condition() && steadyNow() < end) {
            relayContext.restart();
            relayContext.run_for(2ms);
        }
        return condition();
    }

    auto sendRequests() -> void
    {
        for (auto index = std::size_t { 0 }; index < peerCount; ++index)
            peers[index]->sendRequests(index);
    }

    auto processorTime() -> Duration
    {
        auto clock = clockid_t {};
        REQUIRE(::pthread_getcpuclockid(runner.native_handle(), &clock) == 0);
        auto used = timespec {};
        REQUIRE(::clock_gettime(clock, &used) == 0);
        return std::chrono::duration_cast<Duration>(
            std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
    }

    boost::asio::io_context peerContext;
    std::vector<std::unique_ptr<FakePeer>> peers;
    FleetChanged fleet;
};

} // namespace

TEST_CASE("A leaving engine is known in time although many placement requests have arrived before the notice")
{
    auto flooded = FloodedScheduler();
    flooded.sendRequests();
    const auto before = flooded.processorTime();
    auto frame = PeerFrame {};
    frame.directory = DirectoryPage { false, engineCount, engineCount + 1,
        { load::SimulatedStore::directoryRecord(7, "draining") } };
    frame.directory->records.front().offset = engineCount;
    flooded.peers.front()->send(frame);
    REQUIRE(flooded.waitFor(
        [&flooded] { return std::ranges::any_of(*flooded.fleet.upstreams, &UpstreamEntry::draining); }));
    CHECK((flooded.processorTime() - before).count() < processorBound.count());
}

TEST_CASE("A configuration is in force in time although many placement requests have arrived before it")
{
    auto flooded = FloodedScheduler();
    flooded.sendRequests();
    const auto before = flooded.processorTime();
    auto frame = PeerFrame {};
    frame.configuration = load::SimulatedStore::configuration(2);
    flooded.peers.front()->send(frame);
    REQUIRE(flooded.waitFor([&flooded] { return flooded.fleet.table->version() == 2; }));
    CHECK((flooded.processorTime() - before).count() < processorBound.count());
}
