#include "placerfixture.h"

#include <set>

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

/** Engines that read 50 tokens a millisecond, so 3,000 tokens in 60 ms, under a load that the test makes. */
struct LoadedPlacer : PlacerFixture {
    explicit LoadedPlacer(std::size_t engineCount = 2)
        : PlacerFixture(engineCount)
    {
    }

    auto ask(const std::string& name, Duration goal) -> void
    {
        auto asked = request(name, 3000);
        asked.goal = now + goal;
        names[asked.key] = name;
        submit(asked);
    }

    auto step() -> void
    {
        for (const auto& [key, said] : placed) {
            if (hung.contains(said.upstream))
                continue;
            auto& until = busyUntil[said.upstream];
            until = std::max(until, now) + 60ms;
            due.emplace(until, key);
            served[names[key]] += 3000;
        }
        placed.clear();
        now += 5ms;
        while (!due.empty() && due.begin()->first <= now) {
            start(due.begin()->second);
            end(due.begin()->second);
            due.erase(due.begin());
        }
        placeWaiting();
    }

    /** Engines that answer nothing any more. */
    std::set<UpstreamId> hung;
    std::map<std::string, double> served;
    std::map<PlacementKey, std::string> names;
    std::map<UpstreamId, Time> busyUntil;
    std::multimap<Time, PlacementKey> due;
};

constexpr auto stepsOfASecond = 200;

} // namespace

TEST_CASE("An organisation whose requests arrive late still gets at least half of another's service")
{
    auto load = LoadedPlacer {};
    for (auto step = 0; step < 12 * stepsOfASecond; ++step) {
        if (step % 4 == 0) {
            load.ask("prompt", 800ms);
            load.ask("late", -100ms);
        }
        load.step();
    }
    CHECK(load.served["late"] >= load.served["prompt"] / 2);
    CHECK(load.served["prompt"] >= load.served["late"]);
}

TEST_CASE("An organisation that took what nobody else wanted gets half of the best service in the six "
          "seconds after")
{
    auto load = LoadedPlacer {};
    for (auto step = 0; step < 6 * stepsOfASecond; ++step) {
        if (step % 4 == 0)
            load.ask("large", 800ms);
        if (step % 40 == 0)
            load.ask("small", 800ms);
        load.step();
    }
    load.served.clear();
    for (auto step = 0; step < 6 * stepsOfASecond; ++step) {
        if (step % 4 == 0) {
            load.ask("large", 800ms);
            load.ask("small", 800ms);
            load.ask("other", 800ms);
        }
        load.step();
    }
    const auto best = std::max(load.served["small"], load.served["other"]);
    CHECK(load.served["large"] >= best / 2);
    CHECK(best >= load.served["large"]);
}

TEST_CASE("An organisation that took what nobody else wanted gets half of the best service also when engines "
          "hang as the others begin to want more")
{
    // 133 requests a second in all, 67 with half of the engines hung.
    auto load = LoadedPlacer(8);
    auto hung = std::set<UpstreamId> {};
    for (auto index = std::size_t { 0 }; index < 4; ++index)
        hung.insert(load.entries.at(index).id());
    const auto askFor = [&load](int seconds, bool burst) {
        const auto period = burst ? 2 : 5;
        for (auto step = 0; step < seconds * stepsOfASecond; ++step) {
            load.ask("large", 800ms);
            if (step % (2 * period) == 0)
                load.ask("second", 800ms);
            for (const auto* const small : { "small-1", "small-2", "small-3", "small-4" }) {
                if (step % (5 * period) == 0)
                    load.ask(small, 800ms);
            }
            load.step();
        }
    };
    askFor(8, false);
    load.served.clear();
    askFor(1, true);
    load.hung = hung;
    askFor(5, true);

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

TEST_CASE("Under lasting overload two organisations with equal demand get equal service, a small one all of "
          "its own")
{
    auto load = LoadedPlacer {};
    auto smallAsked = 0;
    for (auto step = 0; step < 4000; ++step) {
        // 33 requests a second in all. A is asked for thrice what B is.
        if (step % 2 == 0)
            load.ask("A", 800ms);
        if (step % 6 == 0)
            load.ask("B", 800ms);
        if (step % 40 == 0) {
            load.ask("small", 800ms);
            ++smallAsked;
        }
        load.step();
    }
    const auto smallServed = static_cast<int>(load.served["small"]) / 3000;
    CHECK(smallServed >= smallAsked * 95 / 100);
    CHECK(load.served["A"] / load.served["B"] < 1.15);
    CHECK(load.served["A"] / load.served["B"] > 0.85);
}
