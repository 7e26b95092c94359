#include "servicebalancer.h"

#include <map>

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace std::chrono_literals;

namespace {

auto entries() -> std::vector<UpstreamEntry>
{
    auto list = std::vector<UpstreamEntry>(3);
    for (auto index = std::size_t { 0 }; index < 3; ++index) {
        list[index].name = "u" + std::to_string(index);
        list[index].failureDomain = "zone-" + std::to_string(index);
    }
    return list;
}

} // namespace

TEST_CASE("Requests are spread over the upstreams by their requests in progress")
{
    auto availability = UpstreamAvailability {};
    auto balancer = ServiceBalancer(1, availability);
    balancer.setUpstreams(entries());
    auto counts = std::map<std::string, int> {};
    for (auto round = 0; round < 30; ++round) {
        const auto* const chosen = balancer.choose(Time {}, hashName("zone-0"), {});
        REQUIRE(chosen != nullptr);
        ++counts[chosen->name];
        balancer.requestStarted(chosen->id());
    }
    for (const auto& [name, count] : counts)
        CHECK(std::abs(count - 10) <= 2);
}

TEST_CASE("Failing upstreams are avoided, and upstreams to avoid and draining ones are never chosen")
{
    auto availability = UpstreamAvailability {};
    auto balancer = ServiceBalancer(1, availability);
    auto list = entries();
    list[2].draining = true;
    balancer.setUpstreams(list);
    CHECK(balancer.size() == 2);
    const auto now = Time { 10s };
    balancer.requestStarted(list[0].id());
    balancer.requestEnded(now, list[0].id(), PlacementEnd::Unreachable);
    for (auto round = 0; round < 10; ++round)
        CHECK(balancer.choose(now, 0, {})->name == "u1");
    const auto tried = std::vector<UpstreamId> { list[1].id() };
    CHECK(balancer.choose(now, 0, tried)->name == "u0");
    const auto both = std::vector<UpstreamId> { list[0].id(), list[1].id() };
    CHECK(balancer.choose(now, 0, both) == nullptr);
}

TEST_CASE("An upstream that fails part of its requests receives fewer of them")
{
    auto availability = UpstreamAvailability {};
    auto balancer = ServiceBalancer(1, availability);
    const auto list = entries();
    balancer.setUpstreams(list);
    auto counts = std::map<std::string, int> {};
    auto now = Time { 10s };
    for (auto round = 0; round < 600; ++round) {
        now += 5ms;
        const auto* const chosen = balancer.choose(now, 0, {});
        ++counts[chosen->name];
        balancer.requestStarted(chosen->id());
        const auto fails = chosen->name == "u0" && round % 2 == 0;
        balancer.requestEnded(now, chosen->id(), fails ? PlacementEnd::Failed : PlacementEnd::Finished);
    }
    CHECK(counts["u0"] < 100);
}
