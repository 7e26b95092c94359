#include "fleet.h"

#include <catch2/catch.hpp>

using namespace camphorshunt::test;

namespace {

/** Starts streams of several organisations at all routers but `spared`, more than there are slots. */
auto flood(Fleet& fleet, std::size_t spared) -> std::vector<std::future<Answer>>
{
    auto calls = std::vector<std::future<Answer>> {};
    for (auto index = std::size_t {}; index < 24; ++index) {
        const auto router = (spared + 1 + index % 2) % fleet.size();
        calls.push_back(callAsync(fleet.router(router).callers, Fleet::chat(index % 4, 40)));
    }
    return calls;
}

auto allComplete(std::vector<std::future<Answer>>& calls) -> bool
{
    auto complete = true;
    for (auto& each : calls) {
        const auto answer = each.get();
        const auto isComplete = answer.isComplete() && answer.body.find("event: done") != std::string::npos;
        if (!isComplete)
            UNSCOPED_INFO(
                "end " << static_cast<int>(answer.end) << " status " << answer.status << ": " << answer.body);
        complete = complete && isComplete;
    }
    return complete;
}

auto fewSlowSlots() -> FleetOptions
{
    auto options = FleetOptions {};
    options.slots = 2;
    options.tokenMs = 5;
    return options;
}

} // namespace

TEST_CASE("Requests waiting at other routers are answered completely when the dispatcher is killed")
{
    auto fleet = Fleet(fewSlowSlots());
    REQUIRE(fleet.awaitMembers(3));
    const auto dispatcher = fleet.dispatcher();
    auto calls = flood(fleet, dispatcher);
    REQUIRE(eventually([&] { return fleet.waiting((dispatcher + 1) % 3, "assistant") > 0; }));
    fleet.killRouter(dispatcher);
    CHECK(allComplete(calls));
    fleet.startRouter(dispatcher);
    CHECK(fleet.awaitMembers(3));
    CHECK(call(fleet.router(dispatcher).callers, Fleet::chat(1, 3)).isComplete());
}

TEST_CASE(
    "Requests are answered completely while the dispatcher is paused, and at every router after it continues")
{
    auto fleet = Fleet(fewSlowSlots());
    REQUIRE(fleet.awaitMembers(3));
    const auto dispatcher = fleet.dispatcher();
    auto calls = flood(fleet, dispatcher);
    REQUIRE(eventually([&] { return fleet.waiting((dispatcher + 1) % 3, "assistant") > 0; }));
    fleet.pauseRouter(dispatcher);
    CHECK(allComplete(calls));
    fleet.continueRouter(dispatcher);
    REQUIRE(fleet.awaitMembers(3));
    for (auto index = std::size_t {}; index < fleet.size(); ++index)
        CHECK(call(fleet.router(index).callers, Fleet::chat(index, 3)).isComplete());
}

TEST_CASE("An organisation is served while another floods every router")
{
    auto fleet = Fleet(fewSlowSlots());
    REQUIRE(fleet.awaitMembers(3));
    auto flooding = std::vector<std::future<Answer>> {};
    for (auto index = std::size_t {}; index < 120; ++index)
        flooding.push_back(callAsync(fleet.router(index % fleet.size()).callers, Fleet::chat(0, 40)));
    REQUIRE(eventually([&] { return fleet.waiting(0, "assistant") > 20; }));
    CHECK(call(fleet.router(0).callers, Fleet::chat(1, 40)).isComplete());
    CHECK(fleet.waiting(0, "assistant") > 0);
    CHECK(allComplete(flooding));
}
