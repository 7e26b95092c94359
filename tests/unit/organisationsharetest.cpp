#include "loadedplacer.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;

TEST_CASE("An organisation whose requests arrive late still gets at least half of another's service")
{
    auto load = LoadedPlacer {};
    for (auto step = 0; step < 12 * stepsOfASecond; ++step) {
        if (step % 4 == 0) {
            load.submitFor("prompt", 800ms);
            load.submitFor("late", -100ms);
        }
        load.step();
    }
    CHECK(load.served["late"] >= load.served["prompt"] / 2);
    CHECK(load.served["prompt"] >= load.served["late"]);
}

TEST_CASE(
    "An organisation that used idle capacity gets at least half of the best served one's service in the six "
    "seconds after demand rises")
{
    auto load = LoadedPlacer {};
    for (auto step = 0; step < 6 * stepsOfASecond; ++step) {
        if (step % 4 == 0)
            load.submitFor("large", 800ms);
        if (step % 40 == 0)
            load.submitFor("small", 800ms);
        load.step();
    }
    load.served.clear();
    for (auto step = 0; step < 6 * stepsOfASecond; ++step) {
        if (step % 4 == 0) {
            load.submitFor("large", 800ms);
            load.submitFor("small", 800ms);
            load.submitFor("other", 800ms);
        }
        load.step();
    }
    const auto best = std::max(load.served["small"], load.served["other"]);
    CHECK(load.served["large"] >= best / 2);
    CHECK(best >= load.served["large"]);
}

TEST_CASE(
    "An organisation that used idle capacity gets at least half of the best served one's service even if "
    "engines hang when the demand of the others rises")
{
    // The engines serve 133 requests per second in total, or 67 with half of them hung.
    auto load = LoadedPlacer(8);
    auto hung = std::set<UpstreamId> {};
    for (auto index = std::size_t { 0 }; index < 4; ++index)
        hung.insert(load.entries.at(index).id());
    const auto runLoad = [&load](int seconds, bool burst) {
        const auto period = burst ? 2 : 5;
        for (auto step = 0; step < seconds * stepsOfASecond; ++step) {
            load.submitFor("large", 800ms);
            if (step % (2 * period) == 0)
                load.submitFor("second", 800ms);
            for (const auto* const small : { "small-1", "small-2", "small-3", "small-4" }) {
                if (step % (5 * period) == 0)
                    load.submitFor(small, 800ms);
            }
            load.step();
        }
    };
    runLoad(8, false);
    load.served.clear();
    runLoad(1, true);
    load.hung = hung;
    runLoad(5, true);

    auto best = 0.0;
    for (const auto& [name, served] : load.served)
        best = std::max(best, served);
    CAPTURE(best);
    CHECK(load.served["large"] >= best / 2);
}

TEST_CASE("Of backlogged organisations the one with the least recent service is placed first")
{
    auto fixture = PlacerFixture(1);
    auto running = fixture.submit(fixture.request("large", 4000));
    for (auto index = 0; index < 20; ++index)
        fixture.submit(fixture.request("large", 4000));
    const auto small = fixture.submit(fixture.request("small", 4000));
    fixture.now += 90ms;
    fixture.start(running);
    fixture.end(running);
    fixture.placeWaiting();
    CHECK(fixture.placed.contains(small));
}

TEST_CASE(
    "Under sustained overload two organisations with excess demand get equal service, and a small one all "
    "that it requests")
{
    auto load = LoadedPlacer {};
    auto smallSubmitted = 0;
    for (auto step = 0; step < 4000; ++step) {
        // The engines serve 33 requests per second in total. A submits three times as many as B.
        if (step % 2 == 0)
            load.submitFor("A", 800ms);
        if (step % 6 == 0)
            load.submitFor("B", 800ms);
        if (step % 40 == 0) {
            load.submitFor("small", 800ms);
            ++smallSubmitted;
        }
        load.step();
    }
    const auto smallServed = static_cast<int>(load.served["small"]) / 3000;
    CHECK(smallServed >= smallSubmitted * 95 / 100);
    CHECK(load.served["A"] / load.served["B"] < 1.15);
    CHECK(load.served["A"] / load.served["B"] > 0.85);
}
