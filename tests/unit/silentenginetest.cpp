#include "placerfixture.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

auto startedRequest(PlacerFixture& fixture, std::uint32_t tokens) -> PlacementKey
{
    const auto key = fixture.submit(fixture.request("acme", tokens));
    REQUIRE(fixture.placed.contains(key));
    fixture.now += 20ms;
    fixture.start(key);
    return key;
}

} // namespace

TEST_CASE("An engine that was silent gets a request again while requests that it kept still run")
{
    auto fixture = PlacerFixture(1);
    const auto first = startedRequest(fixture, 500);
    startedRequest(fixture, 500);
    fixture.end(first, PlacementEnd::Silent);
    fixture.now += 300ms;
    const auto probe = fixture.submit(fixture.request("acme", 500));
    CHECK(fixture.placed.contains(probe));
}

TEST_CASE("A silence that ends several requests suspends their engine no longer than one that ends one")
{
    auto fixture = PlacerFixture(1);
    auto keys = std::vector<PlacementKey> {};
    for (auto count = 0; count < 4; ++count)
        keys.push_back(startedRequest(fixture, 500));
    for (const auto& key : keys)
        fixture.end(key, PlacementEnd::Silent);
    fixture.now += 300ms;
    CHECK(fixture.placed.contains(fixture.submit(fixture.request("acme", 500))));
}
