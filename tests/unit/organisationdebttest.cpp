#include "loadedplacer.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

constexpr auto windowSeconds = 6;
constexpr auto requestInterval = 4;
constexpr auto smallRequestInterval = 80;

auto submitAll(LoadedPlacer& load, int step, int interval, std::initializer_list<const char*> organisations)
    -> void
{
    if (step % interval != 0)
        return;
    for (const auto* const organisation : organisations)
        load.submitFor(organisation, 800ms);
}

auto silence(LoadedPlacer& load, std::size_t engines) -> void
{
    for (auto index = std::size_t { 0 }; index < engines; ++index)
        load.hung.insert(load.engine(index));
}

/** Six seconds in which two organisations ask for what the engines can do and the others for little. */
auto useIdleCapacity(LoadedPlacer& load) -> void
{
    for (auto step = 0; step < windowSeconds * stepsOfASecond; ++step) {
        submitAll(load, step, requestInterval, { "large-1", "large-2" });
        submitAll(load, step, smallRequestInterval, { "a", "b", "c", "d", "e", "f" });
        load.step();
    }
    load.served.clear();
}

/** The next six seconds, in which each organisation asks for more than an equal share. */
auto overload(LoadedPlacer& load) -> void
{
    for (auto step = 0; step < windowSeconds * stepsOfASecond; ++step) {
        submitAll(load, step, requestInterval, { "large-1", "large-2", "a", "b", "c", "d", "e", "f" });
        load.step();
    }
}

} // namespace

TEST_CASE("Organisations that used idle capacity are not held back for it when engines fall silent")
{
    const auto silent = GENERATE(std::size_t { 0 }, std::size_t { 2 }, std::size_t { 4 }, std::size_t { 6 });
    auto load = LoadedPlacer(8);
    useIdleCapacity(load);
    silence(load, silent);
    overload(load);
    CAPTURE(silent);
    CHECK(load.served["large-1"] >= load.bestServed() / 2);
    CHECK(load.served["large-2"] >= load.bestServed() / 2);
}

TEST_CASE("An organisation is not held back for placements of its requests that never began")
{
    // Three in four of its requests enter at a router that reaches no engine; the rest is less than its
    // share.
    auto load = LoadedPlacer(8);
    const auto cutRouter = RouterId { 2 };
    load.cutRouters.insert(cutRouter);
    auto asked = 0.0;
    for (auto step = 0; step < 2 * windowSeconds * stepsOfASecond; ++step) {
        if (step == windowSeconds * stepsOfASecond) {
            load.served.clear();
            asked = 0;
        }
        submitAll(load, step, requestInterval, { "a", "b", "c" });
        if (step % requestInterval == 0) {
            auto request = load.request("partly-cut", 3000);
            if (step % (4 * requestInterval) != 0)
                request.key.router = cutRouter;
            else
                asked += request.prompt.tokens;
            load.submitFor("partly-cut", 800ms, request);
        }
        load.step();
    }
    CHECK(load.served["partly-cut"] >= 0.95 * asked);
}

TEST_CASE("An organisation is not held back for requests that engines refused as full")
{
    // The refusals hit the organisations unequally, as they follow the order of arrival.
    auto load = LoadedPlacer(8);
    for (auto index = std::size_t { 0 }; index < 4; ++index)
        load.refusing.insert(load.engine(index));
    for (auto step = 0; step < windowSeconds * stepsOfASecond; ++step) {
        submitAll(load, step, requestInterval, { "a", "b", "c", "d" });
        load.step();
    }
    for (const auto& [name, served] : load.served) {
        CAPTURE(name);
        CHECK(served >= 0.85 * load.bestServed());
    }
}

TEST_CASE(
    "A new placer does not hold organisations back for requests that run already when engines fall silent")
{
    const auto othersWait = GENERATE(false, true);
    auto load = LoadedPlacer(8);
    if (othersWait) {
        // The reports of routers arrive in any order.
        auto waiting = load.request("a", 3000);
        load.names[waiting.key] = "a";
        load.requests[waiting.key] = waiting;
        load.placer.submit(load.now, waiting);
    }
    for (auto index = 0; index < 16; ++index) {
        for (const auto* const name : { "large-1", "large-2" }) {
            const auto running = load.request(name, 12000);
            load.placer.adoptRequest(load.now, { running, load.engine(std::size_t(index % 8)), true });
            load.due.emplace(load.now + 2s, running.key);
        }
    }
    silence(load, 6);
    overload(load);
    CAPTURE(othersWait);
    CHECK(load.served["large-1"] >= load.bestServed() / 2);
    CHECK(load.served["large-2"] >= load.bestServed() / 2);
}
