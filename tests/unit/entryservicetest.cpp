#include "entryservice.h"

#include <algorithm>
#include <memory>

#include <catch2/catch.hpp>

using namespace camphorshunt;

namespace {

constexpr auto service = ServiceId { 1 };
constexpr auto self = RouterId { 1 };
constexpr auto dispatcher = RouterId { 2 };
constexpr auto organisation = OrganisationId { 5 };

auto documentWith(UpstreamId upstream) -> std::shared_ptr<const Document>
{
    auto document = Document {};
    document.id = service;
    auto entry = Upstream {};
    entry.id = upstream;
    entry.slots = 100;
    document.upstreams.push_back(entry);
    return std::make_shared<const Document>(std::move(document));
}

/** The full demand that an entry service with `slots` held slots sends on a new connection. */
auto demandAfterReconnect(std::uint64_t slots) -> Demand
{
    auto entry = EntryService(self, service, Incarnation { 1 });
    entry.setDocument(documentWith(UpstreamId { 9 }));
    entry.peerConnected({}, dispatcher, true);
    entry.setOwners({}, std::vector { dispatcher });
    auto grants = Grants { { service, 0 }, 1, {} };
    for (auto id = std::uint64_t { 1 }; id <= slots; ++id) {
        auto request = QueuedRequest {};
        request.request = RequestId { id };
        request.organisation = organisation;
        entry.queue().push(request);
        grants.grants.push_back({ GrantId { id * 7919 }, organisation, {}, UpstreamId { 9 } });
    }
    auto assignments = std::vector<Assignment> {};
    entry.applyGrants({}, dispatcher, grants, assignments);
    entry.peerDisconnected({}, dispatcher);
    entry.peerConnected({}, dispatcher, false);
    auto actions = Actions {};
    entry.flush({}, actions);
    REQUIRE_FALSE(actions.empty());
    return std::get<Demand>(std::get<SendPeer>(actions.front()).message);
}

} // namespace

TEST_CASE("A full demand lists the held slots in the order of their grants, so that a replay sends the same")
{
    const auto demand = demandAfterReconnect(40);
    CHECK(demand.full);
    REQUIRE(demand.held.size() == 40);
    CHECK(std::ranges::is_sorted(demand.held, {}, &HeldSlot::grant));
}
