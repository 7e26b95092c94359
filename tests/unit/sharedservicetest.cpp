#include <catch2/catch.hpp>

#include "fairshares.h"

using namespace camphorshunt;

TEST_CASE("Work is reported to other shards when it is granted, and its real cost is counted once")
{
    const auto organisation = OrganisationId { 7 };
    const auto key = DemandKey { RouterId { 1 }, organisation, RequestClass::Interactive };
    auto dispatch = Dispatch {};
    dispatch.shards = 2;
    dispatch.quantum = 50;
    auto shares = FairShares(dispatch, Incarnation { 1 });
    shares.setWeight(organisation, 1.0);
    shares.setWaiting(key, 10, 100);

    REQUIRE(shares.choose(true));
    auto totals = shares.takeTotals();
    REQUIRE(totals.size() == 1);
    CHECK(totals[0].units == Approx(100));

    // The request costs less than its advance: the reported total does not decrease, but the next request
    // adds less to it.
    shares.requestProgressed(key, 40);
    shares.requestEnded(key, 40);
    CHECK(shares.takeTotals().empty());
    for (auto request = 0; request < 10; ++request) {
        shares.setWaiting(key, 10, 100);
        REQUIRE(shares.choose(true));
        shares.requestProgressed(key, 40);
        shares.requestEnded(key, 40);
        for (const auto& total : shares.takeTotals())
            totals.push_back(total);
    }
    for (auto at = std::size_t { 1 }; at < totals.size(); ++at)
        CHECK(totals[at].units > totals[at - 1].units);
    CHECK(totals.back().units <= 11 * 40 + 100);
    CHECK(totals.back().units >= 11 * 40 - 50);
}
