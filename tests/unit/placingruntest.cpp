#include "placingrun.h"

#include <map>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::load;

namespace {

/** A sample plan, shortened to 16 s. */
auto samplePlan(const std::string& name, std::uint64_t seed) -> PlacingPlan
{
    auto plan = PlacingPlan::load(std::string(CAMPHORSHUNT_SAMPLES) + "/" + name);
    REQUIRE(plan);
    plan.value().seed = seed;
    plan.value().duration = 16s;
    return plan.value();
}

auto heavyPlan(std::uint64_t seed) -> PlacingPlan { return samplePlan("placing-heavy.json", seed); }

auto play(const PlacingPlan& plan) -> PlacingOutcome
{
    auto run = PlacingRun(plan);
    run.run();
    return run.outcome();
}

auto errorField(const std::string& text) -> std::string
{
    const auto plan = PlacingPlan::parse(text, "plan.json");
    REQUIRE(!plan);
    return plan.error().field;
}

constexpr auto seeds = { std::uint64_t { 11 }, std::uint64_t { 12 }, std::uint64_t { 13 } };

} // namespace

TEST_CASE("Errors in a placing plan name the invalid field")
{
    const auto engine = std::string(R"("engine": { "slots": 4 })");
    CHECK(errorField("{ " + engine + " }") == "plan.json: kinds");
    const auto kind
        = std::string(R"("kinds": [{ "name": "chat", "ownTokens": { "shape": "constant", "first": 5 },
        "outputTokens": { "shape": "odd" } }])");
    CHECK(errorField("{ " + engine + ", " + kind + " }") == "plan.json: kinds[0].outputTokens.shape");
    CHECK(errorField(R"({ "engine": { "slots": 0 }, "kinds": [] })") == "plan.json: engine.slots");
    CHECK(errorField("{ " + engine + R"(, "dispatching": "nobody", "kinds": [] })")
        == "plan.json: dispatching");
}

TEST_CASE("The same seed gives the same requests, and a surge multiplies those of the affected organisations")
{
    auto plan = heavyPlan(5);
    plan.surges = { { 1s, 1s, 10.0, 1 } };
    auto first = RequestSource(plan);
    auto second = RequestSource(plan);
    auto before = std::size_t { 0 };
    auto during = std::size_t { 0 };
    auto lengths = std::map<std::uint64_t, std::uint32_t> {};
    for (auto now = Time {}; now < Time(2s); now += 1ms) {
        const auto drawn = first.draw(now, 1ms);
        const auto again = second.draw(now, 1ms);
        REQUIRE(drawn.size() == again.size());
        for (auto index = std::size_t { 0 }; index < drawn.size(); ++index) {
            CHECK(drawn[index].request.prompt.tokens == again[index].request.prompt.tokens);
            CHECK(drawn[index].output == again[index].output);
            if (drawn[index].organisation == 0)
                ++(now < Time(1s) ? before : during);
            for (const auto& part : drawn[index].request.prompt.parts) {
                const auto known = lengths.try_emplace(part.id, part.tokens).first->second;
                CHECK(known == part.tokens);
            }
        }
    }
    CHECK(during > 7 * before);
    CHECK(during < 13 * before);
}

TEST_CASE("Simulations with the same seed have the same results")
{
    auto plan = heavyPlan(8);
    plan.duration = 6s;
    plan.failures = { { 2s, 100ms, PlannedFailure::Mode::DispatcherKilled, 0, 1.0 } };
    CHECK(boost::json::serialize(play(plan).json()) == boost::json::serialize(play(plan).json()));
    auto other = plan;
    other.seed = 9;
    CHECK(boost::json::serialize(play(plan).json()) != boost::json::serialize(play(other).json()));
}

TEST_CASE("Each simulated request ends exactly once under every kind of failure")
{
    for (const auto mode : { PlannedFailure::Mode::Crash, PlannedFailure::Mode::Hang,
             PlannedFailure::Mode::Slow, PlannedFailure::Mode::DispatcherKilled, PlannedFailure::Mode::Rest,
             PlannedFailure::Mode::Release }) {
        auto plan = heavyPlan(3);
        plan.duration = 4s;
        plan.failures = { { 1s, 1s, mode, 6, 5.0 } };
        auto source = RequestSource(plan);
        auto sent = std::size_t { 0 };
        for (auto now = Time {}; now < Time(plan.duration); now += 1ms)
            sent += source.draw(now, 1ms).size();
        const auto outcome = play(plan);
        const auto total = outcome.total();
        CHECK(total.requested == sent);
        CHECK(total.inTime + total.late + total.refused + total.failed == sent);
    }
}

TEST_CASE(
    "Under heavy load one dispatcher is fairer and serves more requests in time than independent routers")
{
    for (const auto seed : seeds) {
        auto plan = heavyPlan(seed);
        const auto one = play(plan);
        plan.dispatching = Dispatching::EachRouter;
        const auto each = play(plan);
        CHECK(one.total().inTime > each.total().inTime);
        CHECK(one.worstShare() > each.worstShare());
    }
}

TEST_CASE("Under heavy load each waiting organisation gets at least half of its fair share of service")
{
    for (const auto seed : seeds) {
        auto plan = heavyPlan(seed);
        plan.failures.push_back({ 5s, 5s, PlannedFailure::Mode::Hang, 9, 1.0 });
        const auto outcome = play(plan);
        CAPTURE(seed);
        CHECK(outcome.worstShare() >= 0.5);
        for (auto kind = std::size_t { 0 }; kind < plan.kinds.size(); ++kind) {
            const auto& counts = outcome.ofKind(kind);
            // No kind is starved: its rate of served requests is at least a quarter of the overall rate.
            CHECK(double(counts.served()) / double(counts.requested)
                >= 0.25 * double(outcome.total().served()) / double(outcome.total().requested));
        }
    }
}

TEST_CASE("Under heavy load short queues at the engines let more requests finish in time than long queues")
{
    for (const auto seed : seeds) {
        auto plan = heavyPlan(seed);
        const auto shortQueues = play(plan);
        plan.placer.backlogLimit = 80ms;
        const auto longQueues = play(plan);
        CAPTURE(seed);
        CHECK(shortQueues.total().inTime > longQueues.total().inTime);
        CHECK(shortQueues.total().late < longQueues.total().late);
    }
}

TEST_CASE(
    "Fewer requests are lost in a release of half of the engines if their word that they leave is heeded")
{
    for (const auto seed : seeds) {
        auto plan = samplePlan("placing-release.json", seed);
        const auto heeded = play(plan);
        plan.heedsAnswers = false;
        const auto ignored = play(plan);
        CAPTURE(seed);
        CHECK(heeded.total().requested == ignored.total().requested);
        CHECK(heeded.total().inTime > ignored.total().inTime);
        CHECK(heeded.total().failed <= ignored.total().failed);
        CHECK(heeded.sentInVain() < ignored.sentInVain());
    }
}

TEST_CASE("More requests are served in a burst if engines that want rest are left alone until it ends")
{
    for (const auto seed : seeds) {
        auto plan = samplePlan("placing-rest.json", seed);
        const auto heeded = play(plan);
        plan.heedsAnswers = false;
        const auto ignored = play(plan);
        CAPTURE(seed);
        CHECK(heeded.total().requested == ignored.total().requested);
        CHECK(heeded.total().inTime > ignored.total().inTime);
        CHECK(heeded.total().refused < ignored.total().refused);
        CHECK(heeded.sentInVain() < ignored.sentInVain());
    }
}

TEST_CASE("An organisation that waits gets half of its fair share while most engines hang in a surge")
{
    for (const auto seed : seeds) {
        const auto outcome = play(samplePlan("placing-hang.json", seed));
        CAPTURE(seed);
        CHECK(outcome.worstShareBySecond() >= 0.5);
    }
}
