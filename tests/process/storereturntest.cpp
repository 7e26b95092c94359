#include "routerfleet.h"

#include <thread>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

/** Time in which a change of the store is to be in force at all routers. */
constexpr auto timeInForce = 2s;
/** After its return the store takes writes that count for the bounds. */
constexpr auto contactTime = 3s;
constexpr auto routers = std::size_t { 3 };

auto writeEntries(RouterFleet& fleet, std::size_t times) -> void
{
    for (auto count = std::size_t { 0 }; count < times; ++count) {
        for (auto index = std::size_t { 0 }; index < 2; ++index)
            fleet.putUpstream(index);
    }
}

auto callAll(RouterFleet& fleet) -> bool
{
    auto allServed = true;
    for (auto number = std::size_t { 0 }; number < 4 * routers; ++number) {
        const auto answer = call(fleet.router(number % routers).callers, RouterFleet::request("plain"));
        allServed = allServed && answer.status == 200 && answer.isComplete();
    }
    return allServed;
}

} // namespace

TEST_CASE(
    "Routers act on a removal and a configuration written after the store has come back from an older copy")
{
    // Returns of which the topic is shorter than before at the removal, and as long or longer.
    const auto writtenAgain = GENERATE(std::size_t { 2 }, std::size_t { 10 });
    const auto returns = GENERATE(1, 2);
    auto fleet = RouterFleet({ .routers = routers, .engines = 0, .plain = 2 });
    REQUIRE(fleet.awaitReady());
    writeEntries(fleet, 12);
    for (auto version = std::uint64_t { 2 }; version <= 4; ++version)
        fleet.putConfiguration(boost::json::serialize(RouterFleet::configuration(version)));
    std::this_thread::sleep_for(timeInForce);
    for (auto count = 0; count < returns; ++count) {
        fleet.returnStore("keyed.servers", 20);
        fleet.returnStore("keyed.op", 3);
        fleet.putConfiguration(boost::json::serialize(RouterFleet::configuration(4)));
        writeEntries(fleet, writtenAgain);
        CHECK(callAll(fleet));
    }
    std::this_thread::sleep_for(contactTime);
    fleet.put("keyed.servers", fleet.upstream(0).name, "");
    auto changed = RouterFleet::configuration(5);
    changed.at("routes").as_array().front().as_object()["path_prefix"] = "/moved/";
    fleet.putConfiguration(boost::json::serialize(changed));
    std::this_thread::sleep_for(timeInForce);
    const auto before = fleet.arrivals(0).size();
    for (auto number = std::size_t { 0 }; number < 4 * routers; ++number)
        CHECK(call(fleet.router(number % routers).callers, RouterFleet::request("moved")).status == 200);
    CHECK(fleet.arrivals(0).size() == before);
}
