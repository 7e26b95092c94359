#include "peertable.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

const auto hubAddress = RouterAddress { "10.0.0.1:1", 0.25, 1 };
const auto hub = idOf<RouterId>(hubAddress.endpoint);

auto presence(bool depends) -> PeerPresence
{
    auto made = PeerPresence {};
    made.interval = 1000ms;
    made.dependsOnReceiver = depends;
    return made;
}

} // namespace

// The next heartbeat came up to a second later, and the router counted its placer as silent after 420 ms.
TEST_CASE("A router that begins to depend on a hub hears from it before it counts it as silent")
{
    auto table = PeerTable {};
    auto now = Time { 100s };
    auto hubs = HubRegistry(hubAddress);
    const auto router = idOf<RouterId>("10.0.0.2:1");
    table.connected(now, router, { "10.0.0.2:1", 1, 0.12, 1 });
    CHECK(table.takeDueHeartbeats(now, hubs, hub).size() == 1);
    now += 50ms;
    CHECK(table.takeDueHeartbeats(now, hubs, hub).empty());
    table.updatePresence(router, presence(true));
    const auto due = table.takeDueHeartbeats(now, hubs, hub);
    REQUIRE(due.size() == 1);
    CHECK(due.front().second == PeerTable::frequentInterval);
    // A router that stays dependent does not get more of them.
    table.updatePresence(router, presence(true));
    CHECK(table.takeDueHeartbeats(now, hubs, hub).empty());
}

// Its entry had been removed, and the new one had the share of a whole core, so that all roles went to it.
TEST_CASE("A router that was paused for long keeps its share of the processor when it is heard again")
{
    auto table = PeerTable {};
    auto now = Time { 100s };
    auto hubs = HubRegistry({ "10.0.0.9:1", 0.25, 1 });
    hubs.learn(hubAddress);
    table.connected(now, hub, { hubAddress.endpoint, 1, 0.25, 1 });
    for (auto step = 0; step < 300; ++step, now += 100ms)
        static_cast<void>(table.checkSilence(now));
    CHECK(table.live(hubs).empty());
    CHECK(table.updateLastSeen(now, hub, PeerHeartbeat { 1, 1, true, false }));
    now += 3s;
    static_cast<void>(table.updateLastSeen(now, hub, PeerHeartbeat { 1, 1, true, false }));
    const auto live = table.live(hubs);
    REQUIRE(live.size() == 1);
    CHECK(live.front().processorShare == 0.25);
}

TEST_CASE("A router whose connection is lost for long is forgotten")
{
    auto table = PeerTable {};
    auto now = Time { 100s };
    table.connected(now, hub, { hubAddress.endpoint, 1, 0.25, 1 });
    table.lost(hub);
    static_cast<void>(table.checkSilence(now + 11s));
    CHECK(table.size() == 0);
}

TEST_CASE("A frame is not taken for younger than the last clock value that its sender has echoed")
{
    auto table = PeerTable {};
    auto now = Time { 100s };
    table.connected(now, hub, { hubAddress.endpoint, 1, 0.25, 1 });
    const auto sent = table.clockFor(now, hub).sent;
    CHECK(!table.updateClock(now, hub, { 7, 0, {} }));
    now += 3s;
    CHECK(table.updateClock(now, hub, { 8, sent, 500ms }) == now - 2500ms);
    const auto clock = table.clockFor(now + 200ms, hub);
    CHECK(clock.echoed == 8);
    CHECK(clock.held == Duration(200ms));
}

TEST_CASE("An echo of a time that is still to come does not make a frame young")
{
    auto table = PeerTable {};
    const auto now = Time { 100s };
    table.connected(now, hub, { hubAddress.endpoint, 1, 0.25, 1 });
    CHECK(!table.updateClock(now, hub, { 7, table.clockFor(now + 1s, hub).sent, {} }));
    CHECK(table.updateClock(now, hub, { 7, table.clockFor(now - 1s, hub).sent, 5s }) == now);
}

TEST_CASE("A clock value of a router's earlier connection is not echoed")
{
    auto table = PeerTable {};
    const auto now = Time { 100s };
    table.connected(now, hub, { hubAddress.endpoint, 1, 0.25, 1 });
    static_cast<void>(table.updateClock(now, hub, { 7, 0, {} }));
    table.connected(now, hub, { hubAddress.endpoint, 2, 0.25, 1 });
    CHECK(table.clockFor(now, hub).echoed == 0);
}
