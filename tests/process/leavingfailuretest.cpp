#include "fleet.h"

#include <algorithm>
#include <functional>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt::test;

namespace {

/** Requests sent at once to all daemons: more than the staying engine has slots, so that a free one would
 * show. */
constexpr auto burst = std::size_t { 12 };

auto twoEngines() -> FleetOptions
{
    auto options = FleetOptions {};
    options.slots = 2;
    return options;
}

auto sendBurst(Fleet& fleet) -> bool
{
    auto calls = std::vector<std::future<Answer>> {};
    for (auto index = std::size_t {}; index < burst; ++index)
        calls.push_back(callAsync(fleet.router(index % fleet.size()).callers, Fleet::chat(index, 5)));
    return std::ranges::all_of(calls, [](auto& each) { return each.get().isComplete(); });
}

/** A stream runs on the engine when it starts to leave; the stream ends whole, and nothing new is started. */
auto checkLeaving(Fleet& fleet, const std::function<void()>& leave) -> void
{
    REQUIRE(fleet.awaitMembers(3));
    auto running = std::vector<std::future<Answer>> {};
    for (auto index = std::size_t {}; index < 4; ++index)
        running.push_back(callAsync(fleet.router(index % 3).callers, Fleet::chat(index, 300)));
    REQUIRE(eventually([&] { return Fleet::running(fleet.engine(0)) == 2; }));
    leave();
    for (auto& each : running)
        CHECK(each.get().isComplete());

    const auto spared = [&] {
        const auto before = Fleet::started(fleet.engine(0));
        return sendBurst(fleet) && Fleet::started(fleet.engine(0)) == before;
    };
    REQUIRE(eventually(spared));
    for (auto round = 0; round < 5; ++round)
        CHECK(spared());
}

auto withLeaving(std::string_view document, std::size_t upstream) -> std::string
{
    auto changed = boost::json::parse(document);
    changed.at("upstreams").as_array().at(upstream).as_object()["leaving"] = true;
    return boost::json::serialize(changed);
}

} // namespace

TEST_CASE("An engine that the VM list alone calls leaving ends its streams whole and gets no new work")
{
    auto fleet = Fleet(twoEngines());
    checkLeaving(fleet, [&] { fleet.publishVms("e0"); });
}

TEST_CASE("An engine that its own load report alone calls leaving gets no new work")
{
    auto fleet = Fleet(twoEngines());
    checkLeaving(fleet, [&] { fleet.engine(0).fault(R"({"leaving":true})"); });
}

TEST_CASE("An engine that the document alone calls leaving gets no new work")
{
    auto fleet = Fleet(twoEngines());
    checkLeaving(fleet, [&] { fleet.publish(withLeaving(fleet.assistantDocument(), 0)); });
}
