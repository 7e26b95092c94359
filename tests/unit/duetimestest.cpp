#include "duetimes.h"

#include <catch2/catch.hpp>

#include "placerfixture.h"

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

constexpr auto start = Time { Duration(100s) };

} // namespace

TEST_CASE("An upstream is due once, at the earliest of its times, and no other is looked at")
{
    auto times = DueTimes {};
    for (auto id = std::uint64_t { 1 }; id <= 1000; ++id)
        times.hasten({ id }, start + 10s);
    times.hasten({ 7 }, start + 1s);
    times.hasten({ 7 }, start + 5s);
    times.hasten({ 3 }, start + 1s);
    times.hasten({ 9 }, Time::max());
    CHECK(times.takeDue(start + 999ms).empty());
    CHECK(times.takeDue(start + 1s) == std::vector { UpstreamId { 3 }, UpstreamId { 7 } });
    CHECK(times.takeDue(start + 2s).empty());
    CHECK(times.size() == 998);
}

// An engine's first due time passes while it works well; the later request must still be noticed.
TEST_CASE("An engine that falls silent after it has worked well for long is suspended in time")
{
    auto fixture = PlacerFixture(1);
    for (auto turn = 0; turn < 40; ++turn) {
        const auto key = fixture.submit(fixture.request("a", 100));
        fixture.now += 50ms;
        fixture.start(key);
        fixture.end(key);
        fixture.placeWaiting();
    }
    const auto silent = fixture.submit(fixture.request("a", 100));
    const auto& engine = fixture.placer.engines().at(fixture.upstreamOf(silent));
    fixture.now += 340ms;
    fixture.placeWaiting();
    CHECK(!engine.isSuspended(fixture.now));
    fixture.now += 100ms;
    fixture.placeWaiting();
    CHECK(engine.isSuspended(fixture.now));
}

TEST_CASE("After a suspension ends an engine that still owes the first token is suspended again")
{
    auto fixture = PlacerFixture(1);
    const auto silent = fixture.submit(fixture.request("a", 100));
    const auto& engine = fixture.placer.engines().at(fixture.upstreamOf(silent));
    for (auto time = 0ms; time < 2000ms; time += 5ms) {
        fixture.now += 5ms;
        fixture.placeWaiting();
    }
    CHECK(engine.isSuspended(fixture.now));
}
