#include "peertable.h"
#include "placementcoordinator.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

TEST_CASE("The requests of a service are not placed by a small router while large ones are live")
{
    auto routers = std::vector<LiveRouter> {};
    for (auto number = std::uint64_t { 1 }; number <= 73; ++number)
        routers.push_back({ RouterId { number * 7919 }, number <= 8 ? 0.5 : 0.12 });
    auto bySmall = 0;
    for (auto number = 0; number < 200; ++number) {
        const auto placer = placerOf(idOf<ServiceId>("service-" + std::to_string(number)), routers);
        bySmall += std::ranges::find(routers, placer, &LiveRouter::router)->processorShare < 0.5 ? 1 : 0;
    }
    CHECK(bySmall == 0);
}

TEST_CASE("A router whose heartbeats stop again and again takes no role between its silences")
{
    const auto late = idOf<RouterId>("10.0.0.1:1");
    const auto steady = idOf<RouterId>("10.0.0.2:1");
    auto table = PeerTable {};
    auto now = Time { 100s };
    auto hubs = HubRegistry({ "10.0.0.3:1", 0.5, 1 });
    hubs.learn({ "10.0.0.1:1", 0.5, 1 });
    hubs.learn({ "10.0.0.2:1", 0.5, 1 });
    table.connected(now, late, { "10.0.0.1:1", 1, 0.5 });
    table.connected(now, steady, { "10.0.0.2:1", 1, 0.5 });
    const auto heartbeat = PeerHeartbeat { 1, 1, true, false };
    auto changes = 0;
    auto wasLive = true;
    for (auto step = 1; step <= 100; ++step) {
        now += 100ms;
        static_cast<void>(table.updateLastSeen(now, steady, heartbeat));
        if (step % 6 == 0)
            static_cast<void>(table.updateLastSeen(now, late, heartbeat));
        static_cast<void>(table.checkSilence(now));
        const auto live = table.live(hubs);
        const auto isLive
            = std::ranges::any_of(live, [late](const LiveRouter& router) { return router.router == late; });
        changes += isLive != wasLive ? 1 : 0;
        wasLive = isLive;
    }
    CHECK(changes == 1);
    CHECK(!wasLive);
}
