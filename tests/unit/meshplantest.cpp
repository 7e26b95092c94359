#include "meshplan.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

constexpr auto now = Time { Duration(100s) };
const auto first = PeerHello { "10.0.0.1:7000", 1, 0.5, 1 };
const auto second = PeerHello { "10.0.0.2:7000", 1, 0.5, 1 };
const auto firstId = idOf<RouterId>(first.endpoint);
const auto secondId = idOf<RouterId>(second.endpoint);

} // namespace

TEST_CASE(
    "Of two connections between the same routers, both ends keep the one that the smaller address dialled")
{
    auto smaller = MeshPlan(first);
    auto larger = MeshPlan(second);
    CHECK(smaller.admit(now, second, false) == MeshPlan::Admission::Accepted);
    CHECK(smaller.admit(now, second, true) == MeshPlan::Admission::Replaces);
    CHECK(larger.admit(now, first, false) == MeshPlan::Admission::Accepted);
    CHECK(larger.admit(now, first, true) == MeshPlan::Admission::Rejected);
}

// The router held no role for this one until its connection was lost and made again.
TEST_CASE("A router that is connected stays a hub when this one's own dial to it fails")
{
    auto plan = MeshPlan(second);
    plan.addPeer({ first.endpoint });
    CHECK(plan.takeDue(now).dials == std::vector { firstId });
    CHECK(plan.admit(now, first, false) == MeshPlan::Admission::Accepted);
    plan.dialFailed(now, firstId);
    CHECK(plan.hubs().isHub(firstId));
    plan.disconnected(now, firstId);
    CHECK(!plan.hubs().isHub(firstId));
}

TEST_CASE("A router that does not answer is dialled again, less and less often")
{
    auto plan = MeshPlan(first);
    plan.addPeer({ second.endpoint, 0.5, 1 });
    auto dials = std::size_t { 0 };
    for (auto time = now; time < now + 20s; time += 50ms) {
        const auto due = plan.takeDue(time);
        dials += due.dials.size();
        for (const auto router : due.dials)
            plan.dialFailed(time, router);
    }
    CHECK(dials >= 8);
    CHECK(dials <= 24);
    CHECK(plan.hubs().isHub(firstId));
    CHECK(!plan.hubs().isHub(secondId));
}
