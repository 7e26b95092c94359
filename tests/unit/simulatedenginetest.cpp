#include "simulatedengine.h"

#include <map>

#include <catch2/catch.hpp>

using namespace camphorshunt;

namespace {

/** An engine with steps of 10 ms that prefills 100 tokens per millisecond, in chunks of 1,000. */
struct EngineFixture {
    explicit EngineFixture(std::uint32_t slots = 4, std::uint64_t memory = 100'000)
        : engine({ slots, memory, 1000.0 }, { 10.0, 0.0, 0.0, 100.0, 1000, 0.0, 2.0, 3 })
    {
    }

    auto submit(std::uint32_t tokens, std::uint32_t output, std::vector<PromptPart> parts = {},
        std::uint32_t copied = 0) -> PlacementKey
    {
        auto prompt = Prompt {};
        prompt.tokens = tokens;
        prompt.parts = std::move(parts);
        const auto key = PlacementKey { RouterId { 1 }, ++number };
        accepted = engine.submit(now, key, prompt, output, copied);
        return key;
    }

    auto runUntilIdle() -> void
    {
        for (auto steps = 0; engine.stepEnd() && steps < 10'000; ++steps) {
            now = *engine.stepEnd();
            for (const auto& event : engine.endStep(now))
                (event.kind == EngineEvent::Kind::Started ? started : finished)[event.key] = event.at;
        }
    }

    SimulatedEngine engine;
    Time now { 1s };
    std::uint64_t number = 0;
    bool accepted = false;
    std::map<PlacementKey, Time> started;
    std::map<PlacementKey, Time> finished;
};

} // namespace

TEST_CASE("An engine prefills a prompt in chunks, then generates one token per step")
{
    auto fixture = EngineFixture {};
    const auto key = fixture.submit(2500, 5);
    fixture.runUntilIdle();
    // Three steps with 10, 10 and 5 ms of prefill, then four steps for the other tokens.
    CHECK(fixture.started.at(key) == Time(1s) + 55ms);
    CHECK(fixture.finished.at(key) == Time(1s) + 95ms);
    CHECK(fixture.engine.prefilledTokens() == 2500);
}

TEST_CASE(
    "A long prompt is prefilled before one that arrived later, and slows the tokens of running requests")
{
    auto fixture = EngineFixture {};
    const auto runs = fixture.submit(100, 20);
    const auto reads = fixture.submit(4000, 1);
    const auto later = fixture.submit(100, 1);
    fixture.runUntilIdle();
    CHECK(fixture.started.at(reads) < fixture.started.at(later));
    auto alone = EngineFixture {};
    const auto undisturbed = alone.submit(100, 20);
    alone.runUntilIdle();
    CHECK(fixture.finished.at(runs) - alone.finished.at(undisturbed) >= 40ms);
}

TEST_CASE("Parts that an engine has cached or copies are not prefilled again")
{
    auto fixture = EngineFixture {};
    const auto parts = std::vector<PromptPart> { { 7, 3000 }, { 8, 100 } };
    fixture.submit(3100, 1, parts);
    fixture.runUntilIdle();
    REQUIRE(fixture.engine.prefilledTokens() == 3100);
    fixture.submit(3200, 1, { { 7, 3000 }, { 9, 200 } });
    fixture.runUntilIdle();
    CHECK(fixture.engine.prefilledTokens() == 3300);

    auto other = EngineFixture {};
    const auto begin = other.now;
    const auto key = other.submit(3200, 1, { { 7, 3000 }, { 9, 200 } }, 3000);
    other.runUntilIdle();
    CHECK(other.engine.prefilledTokens() == 200);
    // 2 ms to set up the copy, 3 ms for its tokens, then one step of 10 ms with 2 ms of prefill.
    CHECK(other.started.at(key) == begin + 17ms);
}

TEST_CASE("The least recently used parts are evicted, and the newest request is preempted when memory still "
          "runs out")
{
    auto fixture = EngineFixture(4, 4000);
    fixture.submit(1500, 1, { { 1, 1500 } });
    fixture.submit(1500, 1, { { 2, 1500 } });
    fixture.runUntilIdle();
    fixture.submit(1500, 1, { { 3, 1500 } });
    fixture.runUntilIdle();
    auto first = Prompt { 1500, 0, 0, { { 1, 1500 } } };
    auto second = Prompt { 1500, 0, 0, { { 2, 1500 } } };
    CHECK(fixture.engine.cachedTokens(first) == 0);
    CHECK(fixture.engine.cachedTokens(second) == 1500);

    const auto old = fixture.submit(1900, 300);
    const auto young = fixture.submit(1900, 300);
    fixture.runUntilIdle();
    CHECK(fixture.engine.preemptions() >= 1);
    CHECK(fixture.finished.at(old) < fixture.finished.at(young));
    CHECK(fixture.started.size() == 5);
}

TEST_CASE("An engine refuses requests that exceed its queue or its memory, and loses all requests in a crash")
{
    auto fixture = EngineFixture(1, 4000);
    fixture.submit(5000, 1);
    CHECK(!fixture.accepted);
    for (auto count = 0; count < 4; ++count) {
        fixture.submit(1000, 50);
        CHECK(fixture.accepted);
    }
    fixture.submit(1000, 50);
    CHECK(!fixture.accepted);
    CHECK(fixture.engine.crash().size() == 4);
    CHECK(!fixture.engine.stepEnd());
    fixture.submit(1000, 1);
    fixture.runUntilIdle();
    CHECK(fixture.finished.size() == 1);
}

TEST_CASE("A hung engine accepts requests and processes them after it recovers")
{
    auto fixture = EngineFixture {};
    fixture.engine.setHung(fixture.now, true);
    const auto key = fixture.submit(100, 1);
    CHECK(fixture.accepted);
    CHECK(!fixture.engine.stepEnd());
    fixture.now += 3s;
    fixture.engine.setHung(fixture.now, false);
    fixture.runUntilIdle();
    CHECK(fixture.finished.at(key) >= Time(4s));
}
