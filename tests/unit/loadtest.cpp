#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "fairnessgap.h"
#include "plan.h"
#include "sampler.h"
#include "waits.h"

using namespace camphorshunt;
using namespace camphorshunt::load;

namespace {

auto seriesOf(std::string name, const std::vector<double>& service, const std::vector<bool>& backlogged,
    double weight = 1.0) -> ServiceSeries
{
    auto series = ServiceSeries { std::move(name), weight, {} };
    for (auto at = std::size_t {}; at < service.size(); ++at)
        series.samples.push_back({ service[at], backlogged[at] });
    return series;
}

auto planWith(const std::string& organisation) -> std::string
{
    return R"({ "service": "bench", // a comment
        "durationMs": 1000, "slots": 4,
        "daemons": [{ "name": "r1", "callers": "127.0.0.1:1", "admin": "127.0.0.1:2" }],
        "organisations": [{ "name": "a", "key": "k", "operation": "chat", "class": "interactive",
            "promptTokens": { "shape": "constant", "first": 10 },
            "outputTokens": { "shape": "bimodal", "first": 10, "second": 100, "rareFraction": 0.1 },
            )"
        + organisation + " }] }";
}

} // namespace

TEST_CASE("the gap is that of the worst window in which both organisations are backlogged")
{
    // While both are backlogged, the difference relative to the start is 0, 10 and -5. Service that one gets
    // before or after that does not count.
    const auto first = seriesOf("a", { 500, 510, 520, 520, 900 }, { false, true, true, true, true });
    const auto second = seriesOf("b", { 0, 10, 10, 25, 25 }, { true, true, true, true, false });
    const auto gaps = fairnessGaps(std::vector { first, second });
    REQUIRE(gaps.size() == 1);
    CHECK(gaps[0].units == Approx(15));
    CHECK(gaps[0].samples == 3);
    CHECK(gaps[0].worstAt == 3);
}

TEST_CASE("the gap is in units per weight, and windows do not span an interruption of the backlog")
{
    const auto first = seriesOf("a", { 0, 20, 400, 420 }, { true, true, false, true }, 2.0);
    const auto second = seriesOf("b", { 0, 0, 0, 0 }, { true, true, true, true }, 2.0);
    const auto other = seriesOf("c", { 0, 0, 0, 0 }, { true, true, true, true }, 1.0);
    const auto gaps = fairnessGaps(std::vector { first, second, other });
    REQUIRE(gaps.size() == 1);
    CHECK(gaps[0].units == Approx(10));
}

TEST_CASE("the gap computed in one pass equals the largest difference over all windows")
{
    CHECK(rc::check([](const std::vector<std::tuple<std::uint8_t, std::uint8_t, bool>>& steps) {
        auto first = ServiceSeries { "a", 1.0, { {} } };
        auto second = ServiceSeries { "b", 1.0, { {} } };
        for (const auto& [one, two, both] : steps) {
            first.samples.push_back({ first.samples.back().service + one, both });
            second.samples.push_back({ second.samples.back().service + two, true });
        }
        auto worst = 0.0;
        for (auto begin = std::size_t {}; begin < first.samples.size(); ++begin) {
            for (auto end = begin + 1; end < first.samples.size() && first.samples[end].backlogged; ++end) {
                const auto one = first.samples[end].service - first.samples[begin].service;
                const auto two = second.samples[end].service - second.samples[begin].service;
                worst = std::max(worst, std::abs(one - two));
            }
        }
        const auto gaps = fairnessGaps(std::vector { first, second });
        RC_ASSERT((gaps.empty() ? 0.0 : gaps[0].units) == worst);
    }));
}

TEST_CASE("a plan may contain comments, and its errors name the invalid field")
{
    const auto rest = std::string(R"("entries": [{ "daemon": "r1" }])");
    const auto plan = Plan::parse(planWith(R"("concurrency": 3, )" + rest), "plan.json");
    REQUIRE(plan.has_value());
    CHECK(plan.value().organisations.at(0).concurrency == 3);
    CHECK(plan.value().organisations[0].outputTokens.shape == Lengths::Shape::Bimodal);

    const auto errorOf = [&](const std::string& organisation) {
        const auto wrong = Plan::parse(planWith(organisation), "plan.json");
        REQUIRE(wrong.has_error());
        return wrong.error().text();
    };
    CHECK(errorOf(rest).starts_with("plan.json: organisations[0].rate: "));
    CHECK(
        errorOf(R"("rate": 1, "concurrency": 3, )" + rest).starts_with("plan.json: organisations[0].rate: "));
    CHECK(errorOf(R"("rate": 1, "entries": [{ "daemon": "r9" }])")
              .starts_with("plan.json: organisations[0].entries[0].daemon: "));
    CHECK(errorOf(R"("rate": 1, "speed": 2, )" + rest).starts_with("plan.json: organisations[0].speed: "));
}

TEST_CASE("quantiles of waiting times are accurate to 5 percent")
{
    auto waits = Waits {};
    for (auto wait = 1; wait <= 1000; ++wait)
        waits.add(wait / 1000.0);
    CHECK(waits.quantile(0.5) == Approx(0.5).epsilon(0.05));
    CHECK(waits.quantile(0.99) == Approx(0.99).epsilon(0.05));
}

TEST_CASE("the cost of a daemon is parsed from its metrics")
{
    const auto cost = parseDaemonCost("# HELP process_cpu_seconds_total x\nprocess_cpu_seconds_total 1.5\n"
                                      "camphorshunt_peer_sent_bytes_total 2e3\n");
    CHECK(cost.processorSeconds == 1.5);
    CHECK(cost.sentBytes == 2000);
    CHECK(cost.logAppends == 0);
}
