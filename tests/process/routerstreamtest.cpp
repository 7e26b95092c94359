#include "routerfleet.h"

#include <chrono>

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

auto eventsUpTo(std::size_t last) -> std::string
{
    auto events = std::string {};
    for (auto id = std::size_t { 1 }; id <= last; ++id)
        events += "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
    return events;
}

} // namespace

TEST_CASE("A stream without length and chunks that ends inside an event does not look complete")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto events = GENERATE(0, 4);
    for (auto index = std::size_t { 0 }; index < 2; ++index)
        fleet.fault(index, R"({"mode":"torn","afterEvents":)" + std::to_string(events) + "}");
    const auto answer = call(fleet.router(0).callers, RouterFleet::stream("stream", 12));
    CHECK(!(answer.isComplete() && answer.status == 200));
    CHECK(fleet.totalRuns() == 1);
}

TEST_CASE("A resumable stream without length and chunks that ends inside an event is resumed elsewhere")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    REQUIRE(call(fleet.router(0).callers, RouterFleet::stream("resume", 1)).isComplete());
    const auto holder = fleet.runs(0).empty() ? std::size_t { 1 } : std::size_t { 0 };
    fleet.fault(holder, R"({"mode":"torn","afterEvents":4})");
    const auto answer = call(fleet.router(0).callers, RouterFleet::stream("resume", 12));
    CHECK(answer.isComplete());
    CHECK(answer.body == eventsUpTo(12));
}

// Each byte counted as progress, and an event was kept in memory however long it grew.
TEST_CASE(
    "A resumable stream whose engine trickles bytes, or sends an event without end, is resumed elsewhere")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    REQUIRE(call(fleet.router(0).callers, RouterFleet::stream("resume", 1)).isComplete());
    const auto holder = fleet.runs(0).empty() ? std::size_t { 1 } : std::size_t { 0 };
    const auto mode = GENERATE(as<std::string> {}, "trickle", "endless");
    fleet.fault(holder, R"({"mode":")" + mode + R"(","afterEvents":4})");
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = call(fleet.router(0).callers, RouterFleet::stream("resume", 12));
    INFO(mode);
    CHECK(answer.isComplete());
    CHECK(answer.body == eventsUpTo(12));
    CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(4));
}

TEST_CASE("A stream that can't be resumed and has no end is cut off, and does not look complete")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    for (auto index = std::size_t { 0 }; index < 2; ++index)
        fleet.fault(index, R"({"mode":"endless","afterEvents":4})");
    const auto answer = call(fleet.router(0).callers, RouterFleet::stream("stream", 12));
    CHECK(!answer.isComplete());
    CHECK(answer.body.size() < std::size_t { 1024 } * 1024);
    CHECK(fleet.totalRuns() == 1);
}

TEST_CASE("A complete stream without length and chunks reaches its caller complete")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    for (auto index = std::size_t { 0 }; index < 2; ++index)
        fleet.fault(index, R"({"mode":"unframed"})");
    const auto route = GENERATE(as<std::string> {}, "stream", "resume");
    const auto answer = call(fleet.router(0).callers, RouterFleet::stream(route, 12));
    CHECK(answer.isComplete());
    CHECK(answer.body == eventsUpTo(12));
    CHECK(fleet.totalRuns() == 1);
}
