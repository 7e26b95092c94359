#include "placerfixture.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;

TEST_CASE("A request for which no engine is left to try is refused at once, and does not wait")
{
    auto fixture = PlacerFixture(2);
    auto request = fixture.request("acme", 500);
    for (const auto& entry : fixture.entries)
        request.avoid.push_back(entry.id());
    const auto key = fixture.submit(request);
    REQUIRE(fixture.refused.contains(key));
    CHECK(fixture.refused.at(key).reason == RefusalReason::NoUpstream);
}
