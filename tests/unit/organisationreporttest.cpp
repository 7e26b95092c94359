#include "placerfixture.h"

#include <catch2/catch.hpp>

#include "requesttotals.h"

using namespace camphorshunt;
using namespace camphorshunt::test;

TEST_CASE("A placer reports what a held back organisation asked, was placed and began, and its account")
{
    auto fixture = PlacerFixture(1);
    const auto first = fixture.submit(fixture.request("large", 4000));
    for (auto index = 0; index < 40; ++index)
        fixture.submit(fixture.request("large", 4000));
    fixture.submit(fixture.request("small", 4000));
    fixture.now += 90ms;
    fixture.start(first);

    const auto reports = fixture.placer.takeReports(8);
    REQUIRE(reports.size() == 2);
    const auto& large = reports.at(0);
    CHECK(large.organisation == idOf<OrganisationId>("large"));
    const auto cost = costOf(fixture.request("large", 4000).prompt);
    CHECK(large.share.asked == Approx(41 * cost));
    CHECK(large.share.placed == Approx(cost * double(fixture.placed.size())));
    CHECK(large.share.begun == Approx(cost));
    CHECK(large.share.refused == fixture.refused.size());
    CHECK(large.share.refused + large.waiting + fixture.placed.size() == 41);
    CHECK(large.account == Approx(1));
    CHECK(reports.at(1).waiting == 1);
    CHECK(reports.at(1).account == 0);
    CHECK(fixture.placer.takeReports(1).empty());
}

TEST_CASE("How requests ended is counted by organisation, also if lines of single requests are left out")
{
    auto totals = router::RequestTotals {};
    for (auto index = 0; index < 1000; ++index)
        totals.record(index % 4 == 0 ? "a" : "b",
            index < 600 ? router::RequestOutcome::Served : router::RequestOutcome::Refused);
    CHECK(totals.requests() == 1000);
    const auto taken = totals.take();
    const auto countOf = [&taken](const char* organisation, router::RequestOutcome outcome) {
        return taken.at(organisation).at(static_cast<std::size_t>(outcome));
    };
    CHECK(countOf("a", router::RequestOutcome::Served) == 150);
    CHECK(countOf("b", router::RequestOutcome::Refused) == 300);
    CHECK(totals.requests() == 0);
    CHECK(totals.take().empty());
}
