#include "fleet.h"

#include <algorithm>
#include <functional>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt::test;

namespace {

/**
 * Requests sent at the same time: more than the other engine has slots, so that a free slot of the leaving
 * engine would be used if it still counted.
 */
constexpr auto burstRequests = std::size_t { 12 };

auto twoEngines() -> FleetOptions
{
    auto options = FleetOptions {};
    options.slots = 2;
    return options;
}

auto sendBurst(Fleet& fleet) -> bool
{
    auto calls = std::vector<std::future<Answer>> {};
    for (auto index = std::size_t {}; index < burstRequests; ++index)
        calls.push_back(callAsync(fleet.router(index % fleet.size()).callers, Fleet::chat(index, 5)));
    return std::ranges::all_of(calls, [](auto& each) { return each.get().isComplete(); });
}

/**
 * Streams run on the first engine when it starts to leave: they must end complete, and no new work may start
 * there.
 */
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

    const auto getsNoNewWork = [&] {
        const auto before = Fleet::started(fleet.engine(0));
        return sendBurst(fleet) && Fleet::started(fleet.engine(0)) == before;
    };
    REQUIRE(eventually(getsNoNewWork));
    for (auto round = 0; round < 5; ++round)
        CHECK(getsNoNewWork());
}

auto documentWithLeaving(std::string_view document, std::size_t upstream) -> std::string
{
    auto changed = boost::json::parse(document);
    changed.at("upstreams").as_array().at(upstream).as_object()["leaving"] = true;
    return boost::json::serialize(changed);
}

} // namespace

TEST_CASE("An engine marked as leaving only in the VM list completes its streams and gets no new work")
{
    auto fleet = Fleet(twoEngines());
    checkLeaving(fleet, [&] { fleet.publishVms("e0"); });
}

TEST_CASE(
    "An engine marked as leaving only in its own load report completes its streams and gets no new work")
{
    auto fleet = Fleet(twoEngines());
    checkLeaving(fleet, [&] { fleet.engine(0).fault(R"({"leaving":true})"); });
}

TEST_CASE("An engine marked as leaving only in the document completes its streams and gets no new work")
{
    auto fleet = Fleet(twoEngines());
    checkLeaving(fleet, [&] { fleet.publish(documentWithLeaving(fleet.assistantDocument(), 0)); });
}
