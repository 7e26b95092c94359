#include <algorithm>
#include <array>
#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "placerfixture.h"
#include "platform/configuration.h"
#include "platform/directoryentry.h"
#include "warmup/warmuprate.h"

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

constexpr auto limits = WarmupLimits { 9.3, 1.5, 5 };
/** Requests that a cold engine can handle in any second. */
constexpr auto bound = std::size_t { 18 };

/** The most times within any second. */
auto mostInASecond(std::vector<Time> times) -> std::size_t
{
    std::ranges::sort(times);
    auto most = std::size_t { 0 };
    for (auto first = std::size_t { 0 }, last = std::size_t { 0 }; last < times.size(); ++last) {
        while (times[last] - times[first] >= 1s)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/** Engines of a service with a rate, under more requests than they can take. */
struct ColdEngines : PlacerFixture {
    explicit ColdEngines(std::size_t count)
        : PlacerFixture(count, 1000000, settings())
    {
        for (auto& entry : entries) {
            entry.slots = 32;
            entry.startedAt = 1000ms;
        }
        placer.setTraits({ 32, 1000000, 500.0, limits.requestsPerSecond }, 0);
        placer.setUpstreams(now, entries);
    }

    static auto settings() -> Placer::Settings
    {
        auto made = Placer::Settings {};
        made.coldOvershoot = limits.overshoot;
        made.coldSlack = limits.slack;
        return made;
    }

    auto state(std::size_t engine, std::chrono::milliseconds remaining) -> void
    {
        entries.at(engine).coldRemaining = remaining;
        placer.setUpstreams(now, entries);
    }

    /** `count` requests each `interval`, which end after 100 ms. */
    auto play(Duration length, int count, Duration interval = 10ms) -> void
    {
        auto next = now;
        for (const auto end = now + length; now < end; now += 10ms) {
            placeWaiting();
            for (; next <= now; next += interval) {
                for (auto index = 0; index < count; ++index)
                    submit(request("acme", 20));
            }
            for (const auto& [key, accepted] : std::exchange(placed, {})) {
                arrivals[accepted.upstream].push_back(now);
                start(key);
                ends.emplace(now + 100ms, key);
            }
            for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin()))
                PlacerFixture::end(ends.begin()->second);
        }
    }

    auto arrivalsAt(std::size_t engine) -> std::vector<Time>& { return arrivals[entries.at(engine).id()]; }

    std::multimap<Time, PlacementKey> ends;
    std::map<UpstreamId, std::vector<Time>> arrivals;
};

} // namespace

TEST_CASE("A cold engine gets at most its rate in any second, and the warm ones the rest")
{
    auto engines = ColdEngines(4);
    engines.state(0, 3000ms);
    engines.play(2990ms, 1, 20ms);
    CHECK(mostInASecond(engines.arrivalsAt(0)) <= 9);
    CHECK(engines.arrivalsAt(0).size() >= 18);
    CHECK(engines.refused.empty());
    CHECK(engines.placer.warmupReport(engines.now).engines == 1);
    CHECK(engines.placer.warmupReport(engines.now + 10ms).engines == 0);
}

TEST_CASE("An engine that became cold without a statement yet gets no more than a cold one can handle")
{
    auto engines = ColdEngines(1);
    engines.play(3s, 4);
    CHECK(mostInASecond(engines.arrivalsAt(0)) < bound);
    CHECK(mostInASecond(engines.arrivalsAt(0)) >= bound - 1);
}

TEST_CASE("A statement from before an engine became cold does not make it warm")
{
    auto engines = ColdEngines(1);
    engines.state(0, 3000ms);
    engines.now += 500ms;
    engines.state(0, 0ms);
    engines.play(2s, 4);
    CHECK(mostInASecond(engines.arrivalsAt(0)) <= 9);
}

TEST_CASE("A placer that takes over gives cold engines nothing while it can't know what they got")
{
    auto engines = ColdEngines(1);
    engines.state(0, 5000ms);
    engines.placer.setPlacesService(engines.now, false);
    engines.play(1s, 1);
    engines.placer.setPlacesService(engines.now, true);
    const auto takeover = engines.now;
    engines.arrivals.clear();
    engines.play(990ms, 1);
    CHECK(engines.arrivalsAt(0).empty());
    engines.play(500ms, 1);
    CHECK_FALSE(engines.arrivalsAt(0).empty());
    CHECK(engines.arrivalsAt(0).front() - takeover >= 1s);
}

TEST_CASE("A service without a rate is placed as before, whatever its engines state")
{
    auto engines = ColdEngines(1);
    engines.placer.setTraits({ 32, 1000000, 500.0 }, 0);
    engines.state(0, 3000ms);
    engines.play(2s, 1);
    CHECK(mostInASecond(engines.arrivalsAt(0)) > bound);
}

TEST_CASE("Two placers that hold parts of a cold engine keep its bound together, whatever happens to them")
{
    const auto kept = rc::check([] {
        const auto fraction = *rc::gen::element(0.2, 0.5, 0.8);
        auto rates = std::array<WarmupRate, 2> {};
        rates[0].setLimits(limits, fraction);
        rates[1].setLimits(limits, 1 - fraction);
        auto now = Time { 100s };
        auto arrivals = std::vector<Time> {};
        for (auto& rate : rates)
            rate.recordStatement(now, 60s);
        const auto steps = *rc::gen::inRange(50, 400);
        for (auto step = 0; step < steps; ++step) {
            auto& rate = rates.at(*rc::gen::inRange<std::size_t>(0, 2));
            // A process may stand still between two steps.
            now += std::chrono::milliseconds(*rc::gen::element(0, 1, 5, 40, 700));
            if (*rc::gen::inRange(0, 40) == 0) {
                // Another placer takes over, and knows nothing of what the former one sent.
                rate = WarmupRate {};
                rate.setLimits(limits, &rate == &rates[0] ? fraction : 1 - fraction);
                rate.recordStatement(now, 60s);
                rate.hold(now + 1s);
            }
            if (*rc::gen::inRange(0, 10) == 0)
                rate.recordStatement(now, 0s);
            while (rate.mayAdmit(now)) {
                rate.recordAdmission(now);
                arrivals.push_back(now);
            }
        }
        RC_ASSERT(mostInASecond(arrivals) <= std::size_t { 9 });
    });
    CHECK(kept);
}

TEST_CASE("A rate below one request a second spaces the requests")
{
    auto rate = WarmupRate {};
    rate.setLimits({ 0.25, 1, 0 }, 1);
    rate.recordStatement(Time { 10s }, 60s);
    CHECK(rate.mayAdmit(Time { 10s }));
    rate.recordAdmission(Time { 10s });
    CHECK_FALSE(rate.mayAdmit(Time { 13999ms }));
    CHECK(rate.mayAdmit(Time { 14s }));
}

TEST_CASE("The rate of cold engines and the time that they stay cold are read from the platform")
{
    const auto configuration = platform::decodeConfiguration(
        R"({"version":1,"routes":[],"services":[{"name":"m","cold_start_s":3.0,"cold_per_s":9.3,"engine":{"slots":16}}]})");
    REQUIRE(configuration);
    CHECK(configuration.value().services.front().engine->coldRequestsPerSecond == 9.3);
    const auto entryWith = [](std::string_view field) {
        return platform::decodeDirectoryEntry("e",
            R"({"service":"m","address":"10.0.0.1:80","zone":"a","slots":16,"state":"ready")"
                + std::string(field) + "}");
    };
    CHECK(entryWith(R"(,"cold_remaining_ms":2400)").value().coldRemaining == 2400ms);
    CHECK(entryWith("").value().coldRemaining == 0ms);
    CHECK_FALSE(entryWith(R"(,"cold_remaining_ms":-1)"));
    CHECK_FALSE(entryWith(R"(,"cold_remaining_ms":"soon")"));
}
