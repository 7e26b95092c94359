#include "routerfleet.h"

#include <csignal>
#include <thread>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

/** Time in which an operator's record is to be in force at all routers. */
constexpr auto timeInForce = 1s;
constexpr auto routers = std::size_t { 2 };
constexpr auto evacuated = std::size_t { 0 };
constexpr auto other = std::size_t { 1 };

/** Two engines and two plain upstreams, of each one in the failure domain of the routers, and one in another.
 */
struct TwoDomains {
    TwoDomains()
        : fleet({ .routers = routers, .engines = 2, .plain = 2 })
    {
        fleet.putUpstream(other, "ready", 1, "zone-b");
        fleet.putUpstream(2 + other, "ready", 1, "zone-b");
        REQUIRE(fleet.awaitReady());
        std::this_thread::sleep_for(timeInForce);
    }

    auto evacuate(std::string_view value = "{}") -> void
    {
        fleet.put("keyed.op", "evacuate/zone-a", std::string(value));
    }

    /** Calls both services through all routers; returns whether all calls were served. */
    auto callAll(std::size_t rounds = 8) -> bool
    {
        auto allServed = true;
        for (auto number = std::size_t { 0 }; number < rounds * routers; ++number) {
            const auto& callers = fleet.router(number % routers).callers;
            for (const auto& request : { RouterFleet::request("plain"), RouterFleet::stream("resume", 3) }) {
                const auto answer = call(callers, request);
                allServed = allServed && answer.status == 200 && answer.isComplete();
            }
        }
        return allServed;
    }

    auto arrivals() -> std::size_t
    {
        return fleet.arrivals(evacuated).size() + fleet.arrivals(2 + evacuated).size();
    }

    RouterFleet fleet;
};

} // namespace

TEST_CASE("Nothing is sent to an evacuated failure domain until the operator takes the evacuation back")
{
    auto domains = TwoDomains {};
    REQUIRE(domains.callAll());
    CHECK(domains.arrivals() > 0);
    domains.evacuate();
    std::this_thread::sleep_for(timeInForce);
    const auto before = domains.arrivals();
    CHECK(domains.callAll());
    CHECK(domains.arrivals() == before);
    domains.evacuate("");
    std::this_thread::sleep_for(timeInForce);
    CHECK(domains.callAll());
    CHECK(domains.arrivals() > before);
}

TEST_CASE("A router that stood still or starts during an evacuation sends nothing to the failure domain")
{
    const auto isRestarted = GENERATE(false, true);
    auto domains = TwoDomains {};
    auto& router = domains.fleet.router(1);
    if (isRestarted)
        router.process->kill();
    else
        router.process->signal(SIGSTOP);
    domains.evacuate();
    std::this_thread::sleep_for(timeInForce);
    if (isRestarted)
        domains.fleet.startRouter(1);
    else
        router.process->signal(SIGCONT);
    REQUIRE(domains.fleet.awaitReady());
    std::this_thread::sleep_for(timeInForce);
    const auto before = domains.arrivals();
    CHECK(domains.callAll());
    CHECK(domains.arrivals() == before);
}

TEST_CASE("An evacuation holds while the store is down, and once it is written again after an older copy")
{
    auto domains = TwoDomains {};
    domains.evacuate();
    std::this_thread::sleep_for(timeInForce);
    domains.fleet.storeFault(R"({"mode":"refuse"})");
    auto before = domains.arrivals();
    CHECK(domains.callAll());
    CHECK(domains.arrivals() == before);
    domains.fleet.storeFault(R"({"mode":"none"})");
    domains.fleet.returnStore("keyed.op", 1);
    domains.evacuate();
    // The store takes writes that count for the bounds some time after its return.
    std::this_thread::sleep_for(3s + timeInForce);
    before = domains.arrivals();
    CHECK(domains.callAll());
    CHECK(domains.arrivals() == before);
}
