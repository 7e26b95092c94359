#include <algorithm>
#include <array>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>
#include <prometheus/registry.h>

#include "fleetcontrol.h"
#include "simulatedstore.h"

using namespace camphorshunt;
using namespace camphorshunt::load;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

/** Time for a change to be in force on the strictest deployment. */
constexpr auto timeInForce = Duration(2s);
constexpr auto hop = Duration(1ms);
constexpr auto engineCount = std::size_t { 5 };

/** The control code of a router, without sockets. */
struct ControlledRouter {
    ControlledRouter(const PeerHello& hello, FleetControl::Handlers handlers)
        : self(hello)
        , control({ hello, {} }, std::move(handlers), log, metrics, state)
    {
    }

    auto id() const -> RouterId { return idOf<RouterId>(self.endpoint); }

    PeerHello self;
    RouterLog log;
    prometheus::Registry registry;
    RouterMetrics metrics { registry };
    SharedState state;
    FleetControl control;
};

/** Two hubs, of which the larger one reads the store; what it sends waits in a socket of the other. */
class FeedAndLateRouter {
public:
    FeedAndLateRouter()
    {
        for (const auto& hello :
            { PeerHello { "10.0.0.1:1", 1, 1.0, 1 }, PeerHello { "10.0.0.2:1", 2, 0.1, 1 } })
            add(hello);
        for (auto index = std::size_t { 0 }; index < routers_.size(); ++index) {
            auto& router = *routers_[index];
            router.control.start(events.now());
            router.control.plan().addPeer(
                { peerOf(index).self.endpoint, peerOf(index).self.processorShare, 1 });
            static_cast<void>(router.control.plan().takeDue(events.now()));
            static_cast<void>(router.control.plan().admit(events.now(), peerOf(index).self, index == 0));
            router.control.connected(events.now(), peerOf(index).id(), peerOf(index).self);
            tick(index);
        }
    }

    /** Makes the feed's frames wait; changes the wait gradually, so that the feed is never silent. */
    auto setBacklog(Duration backlog) -> void
    {
        while (backlog_ != backlog) {
            backlog_ += std::clamp(backlog - backlog_, Duration(-40ms), Duration(40ms));
            events.runUntil(events.now() + 60ms);
        }
    }

    template <typename Condition> auto timeUntil(Condition condition) -> Duration
    {
        const auto begin = events.now();
        while (!condition(fleet) && events.now() < begin + 20s)
            events.runUntil(events.now() + 5ms);
        return events.now() - begin;
    }

    auto late() -> ControlledRouter& { return *routers_[1]; }

    EventQueue events;
    SimulatedStore store { events, hop, engineCount };
    /** What the relay of the late router acts by. */
    FleetChanged fleet;
    std::size_t lateRouterReads = 0;

private:
    auto peerOf(std::size_t index) -> ControlledRouter& { return *routers_[1 - index]; }

    auto add(const PeerHello& hello) -> void
    {
        const auto index = routers_.size();
        auto handlers = FleetControl::Handlers {
            .send = [this, index](RouterId, const PeerFrame& frame) { send(index, frame); },
            .callStore =
                [this, index](SchedulerToStore call) {
                    const auto isRead = std::holds_alternative<ReadDirectory>(call)
                        || std::holds_alternative<ReadConfiguration>(call);
                    if (index == 1 && isRead)
                        ++lateRouterReads;
                    store.call(std::move(call), [this, index](const StoreToScheduler& message) {
                        routers_[index]->control.handleMessage(events.now(), message);
                    });
                },
            .tellRelay =
                [this, index](const SchedulerToRelay& message) {
                    const auto* const changed = std::get_if<FleetChanged>(&message);
                    if (changed && index == 1)
                        fleet = *changed;
                },
            .queryEngine = [](const PlacementCoordinator::EngineQuery&) {},
        };
        routers_.push_back(std::make_unique<ControlledRouter>(hello, std::move(handlers)));
    }

    auto send(std::size_t from, const PeerFrame& frame) -> void
    {
        auto decoded = decodePeerFrame(encodePeerFrame(frame));
        REQUIRE(decoded);
        const auto backlog = from == 0 ? backlog_ : Duration {};
        lastArrival_[from] = std::max(lastArrival_[from], events.now() + hop + backlog);
        events.at(lastArrival_[from], [this, from, arrived = std::move(decoded.value())] {
            peerOf(from).control.frameArrived(events.now(), routers_[from]->id(), arrived);
            peerOf(from).control.sendOutputs(events.now());
        });
    }

    auto tick(std::size_t index) -> void
    {
        auto& control = routers_[index]->control;
        static_cast<void>(control.checkPause(events.now()));
        control.tick(events.now());
        control.sendOutputs(events.now());
        events.after(control.tickPeriod(), [this, index] { tick(index); });
    }

    std::vector<std::unique_ptr<ControlledRouter>> routers_;
    std::array<Time, 2> lastArrival_ {};
    Duration backlog_ {};
};

} // namespace

TEST_CASE("A configuration is in force in time although the feed's frames wait for seconds in a socket")
{
    auto fleet = FeedAndLateRouter();
    fleet.events.runUntil(fleet.events.now() + 4s);
    REQUIRE(fleet.fleet.table);
    REQUIRE(fleet.late().control.reader() != fleet.late().id());
    fleet.setBacklog(5s);
    fleet.store.publish();
    const auto version = fleet.store.version();
    CHECK(
        fleet.timeUntil([&](const auto& known) { return known.table->version() == version; }) < timeInForce);
}

TEST_CASE("A leaving engine is known in time although the feed's frames wait for seconds in a socket")
{
    auto fleet = FeedAndLateRouter();
    fleet.events.runUntil(fleet.events.now() + 4s);
    REQUIRE(fleet.fleet.upstreams);
    REQUIRE(fleet.late().control.reader() != fleet.late().id());
    fleet.setBacklog(5s);
    fleet.store.record(SimulatedStore::directoryRecord(3, "draining"));
    CHECK(fleet.timeUntil([](const auto& known) {
        return std::ranges::any_of(*known.upstreams, &UpstreamEntry::draining);
    }) < timeInForce);
}

TEST_CASE("A router does not call the store while its feed's frames arrive without delay")
{
    auto fleet = FeedAndLateRouter();
    fleet.events.runUntil(fleet.events.now() + 4s);
    const auto calls = fleet.lateRouterReads;
    fleet.store.publish();
    fleet.store.record(SimulatedStore::directoryRecord(3, "draining"));
    fleet.events.runUntil(fleet.events.now() + 10s);
    CHECK(fleet.lateRouterReads == calls);
}

TEST_CASE("A removal is known in time after the store has come back from an older copy")
{
    // The removal gets an offset that is below the known one, or that becomes it.
    const auto writtenAgain = GENERATE(3, 19);
    auto fleet = FeedAndLateRouter();
    for (auto index = std::size_t { 0 }; index < 40; ++index)
        fleet.store.record(SimulatedStore::directoryRecord(index % engineCount, "ready"));
    fleet.events.runUntil(fleet.events.now() + 4s);
    REQUIRE(fleet.fleet.upstreams);
    fleet.store.returnFromCopy(20);
    for (auto index = std::size_t { 0 }; index < std::size_t(writtenAgain); ++index)
        fleet.store.record(SimulatedStore::directoryRecord(index % engineCount, "ready"));
    fleet.events.runUntil(fleet.events.now() + 3300ms);
    CHECK(fleet.fleet.upstreams->size() == engineCount);
    fleet.store.record({ "engine-3", std::nullopt, 0 });
    CHECK(fleet.timeUntil([](const auto& known) { return known.upstreams->size() < engineCount; })
        < timeInForce);
}

TEST_CASE("A store whose era goes back is not called more often for it")
{
    auto fleet = FeedAndLateRouter();
    fleet.store.setEra(9);
    fleet.events.runUntil(fleet.events.now() + 4s);
    fleet.store.setEra(8);
    fleet.store.record({ "engine-3", std::nullopt, 0 });
    fleet.events.runUntil(fleet.events.now() + 6s);
    CHECK(fleet.fleet.upstreams->size() == engineCount);
    const auto& calls = fleet.store.callsBySecond();
    CHECK(*std::max_element(calls.begin() + 5, calls.end()) <= 12);
}
