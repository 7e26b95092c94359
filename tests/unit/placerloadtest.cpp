#include "placerfixture.h"

#include <ctime>
#include <random>

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

auto processorTime() -> Duration
{
    auto used = timespec {};
    REQUIRE(::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) == 0);
    return std::chrono::duration_cast<Duration>(
        std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

/** Requests of 30 organisations for 140 engines, of which less than half can be served. */
struct OverloadedPlacer {
    auto submitNext() -> void
    {
        const auto organisation = std::min(random() % 30, random() % 30);
        const auto session = 100 + organisation * 40 + random() % 33;
        auto request = fixture.request(std::to_string(organisation), 1000 + random() % 8000, session, 5000);
        request.prompt.outputLimit = 400;
        fixture.submit(request);
        handleDecisions();
    }

    /** Engines produce the first token of a request after 60 ms and end it after 1.5 s. */
    auto handleDecisions() -> void
    {
        for (const auto& [key, accepted] : std::exchange(fixture.placed, {})) {
            events.emplace(fixture.now + 60ms, std::pair { key, true });
            events.emplace(fixture.now + 1500ms, std::pair { key, false });
        }
        refused += std::exchange(fixture.refused, {}).size();
    }

    auto handleEvents() -> void
    {
        while (!events.empty() && events.begin()->first <= fixture.now) {
            const auto [key, isStart] = events.begin()->second;
            events.erase(events.begin());
            if (isStart)
                fixture.start(key);
            else
                fixture.end(key);
            fixture.placeWaiting();
            handleDecisions();
        }
    }

    PlacerFixture fixture { 140 };
    std::mt19937_64 random { 1 };
    std::multimap<Time, std::pair<PlacementKey, bool>> events;
    std::size_t refused = 0;
};

} // namespace

TEST_CASE("Placing 2,000 requests a second under overload takes no more processor time than a large VM has")
{
    constexpr auto share = 0.5;
    constexpr auto duration = Duration(3s);
    auto overloaded = OverloadedPlacer {};
    const auto before = processorTime();
    for (auto time = Duration {}; time < duration; time += 500us) {
        overloaded.submitNext();
        overloaded.fixture.now += 500us;
        overloaded.handleEvents();
    }
    CHECK(overloaded.refused > 1000);
    CHECK((processorTime() - before).count() < scaled(duration, share).count());
}
