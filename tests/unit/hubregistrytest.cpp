#include "hubregistry.h"

#include <algorithm>
#include <set>
#include <string>

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

constexpr auto now = Time { Duration(100s) };

auto addressOf(std::size_t number, double share) -> RouterAddress
{
    return { "10.0." + std::to_string(number / 250) + '.' + std::to_string(number % 250 + 1) + ":7000", share,
        1 + number % 6 };
}

auto idOfNumber(std::size_t number) -> RouterId { return idOf<RouterId>(addressOf(number, 1).endpoint); }

/** What a router knows after it has learnt the addresses of the whole fleet; the first `large` have more
 * cores. */
auto registryOf(std::size_t self, std::size_t fleet, std::size_t large) -> HubRegistry
{
    const auto shareOf = [large](std::size_t number) { return number < large ? 0.5 : 0.12; };
    auto registry = HubRegistry(addressOf(self, shareOf(self)));
    for (auto number = std::size_t { 0 }; number < fleet; ++number)
        registry.learn(addressOf(number, shareOf(number)));
    return registry;
}

} // namespace

TEST_CASE("In a small fleet every router is a hub, and all connect to each other")
{
    const auto registry = registryOf(0, 8, 0);
    CHECK(registry.hubs().size() == 8);
    CHECK(registry.dialTargets().size() == 7);
}

TEST_CASE("The connections that a router opens do not grow with the fleet, and all agree on the hubs")
{
    for (const auto fleet : { 30U, 100U, 300U, 1000U }) {
        auto hubs = std::set<std::vector<RouterId>> {};
        for (auto self = std::size_t { 0 }; self < fleet; self += 7) {
            const auto registry = registryOf(self, fleet, 18);
            hubs.insert(registry.hubs());
            CHECK(registry.dialTargets().size() <= HubRegistry::maxHubs);
            CHECK(registry.candidates().size() <= HubRegistry::maxHubs + HubRegistry::maxStandby);
        }
        CHECK(hubs.size() == 1);
        for (auto number = std::size_t { 18 }; number < fleet; ++number)
            CHECK(std::ranges::find(*hubs.begin(), idOfNumber(number)) == hubs.begin()->end());
    }
}

TEST_CASE("When all larger routers are lost at once, the others agree on small ones in their place")
{
    auto hubs = std::set<std::vector<RouterId>> {};
    for (auto self = std::size_t { 18 }; self < 295; self += 11) {
        auto registry = registryOf(self, 295, 18);
        for (auto number = std::size_t { 0 }; number < 18; ++number)
            registry.setReachable(now, idOfNumber(number), false);
        hubs.insert(registry.hubs());
        CHECK(registry.hubs().size() == HubRegistry::maxHubs);
        // The lost ones are still dialled, in case they return.
        CHECK(std::ranges::find(registry.dialTargets(), idOfNumber(0)) != registry.dialTargets().end());
    }
    CHECK(hubs.size() == 1);
}

TEST_CASE("A hub that returns is a hub again, and one that stays away is forgotten")
{
    auto registry = registryOf(20, 295, 18);
    const auto hub = registry.hubs().front();
    registry.setReachable(now, hub, false);
    CHECK(!registry.isHub(hub));
    registry.setReachable(now + 1s, hub, true);
    CHECK(registry.isHub(hub));
    registry.setReachable(now + 2s, hub, false);
    registry.removeUnreachable(now + 63s, 60s);
    CHECK(!registry.knows(hub));
}

TEST_CASE("Routers of which only the address is known are dialled if no others are known")
{
    auto registry = HubRegistry(addressOf(0, 0.12));
    registry.learn({ addressOf(1, 1).endpoint });
    CHECK(registry.dialTargets() == std::vector { idOfNumber(1) });
    CHECK(registry.candidates() == std::vector { idOfNumber(0) });
    for (auto number = std::size_t { 2 }; number < 40; ++number)
        registry.learn(addressOf(number, 0.12));
    CHECK(!registry.isHub(idOfNumber(1)));
    registry.learn(addressOf(1, 0.5));
    CHECK(registry.hubs().front() == idOfNumber(1));
}

TEST_CASE("The number of addresses that a router remembers without a connection is bounded")
{
    auto registry = registryOf(0, 1000, 18);
    auto known = 0;
    for (auto number = std::size_t { 0 }; number < 1000; ++number)
        known += registry.knows(idOfNumber(number)) ? 1 : 0;
    CHECK(known <= 129);
}
