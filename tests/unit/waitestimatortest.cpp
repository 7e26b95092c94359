#include "waitestimator.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;

namespace {

constexpr auto organisation = OrganisationId { 7 };
constexpr auto interactive = RequestClass::Interactive;

/** Dequeues a request every 100 ms, with `remaining` left in the queue after each. */
auto servedEvery100Ms(int count, std::size_t remaining) -> WaitEstimator
{
    auto estimator = WaitEstimator {};
    for (auto index = 0; index < count; ++index)
        estimator.recordDequeue(Time(Duration(100ms) * index), organisation, interactive, remaining);
    return estimator;
}

} // namespace

TEST_CASE("The wait is estimated from the dequeue interval of a backlogged queue")
{
    const auto estimator = servedEvery100Ms(20, 5);
    const auto wait = estimator.estimate(organisation, interactive, 50);
    REQUIRE(wait.has_value());
    CHECK(*wait == Duration(5s));
    CHECK_FALSE(estimator.estimate(organisation, RequestClass::Deferrable, 50).has_value());
}

TEST_CASE("A queue that ran empty, or too few dequeued requests, give no estimate")
{
    CHECK_FALSE(servedEvery100Ms(20, 0).estimate(organisation, interactive, 50).has_value());
    CHECK_FALSE(servedEvery100Ms(5, 5).estimate(organisation, interactive, 50).has_value());
}
