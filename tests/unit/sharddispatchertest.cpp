#include <set>

#include <rapidcheck.h>

#include "shardfleet.h"

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

constexpr auto kInteractive = RequestClass::Interactive;
constexpr auto kRouter = RouterId { 2 };
constexpr auto kOrganisation = OrganisationId { 5 };

auto endOf(const Grant& grant, double units) -> Ends
{
    return Ends { kShard, { SlotEnd { grant.id, grant.organisation, grant.upstream, units, false } }, {} };
}

auto fullDemand(std::uint64_t seen, const std::vector<Grant>& held) -> Demand
{
    auto demand = Demand { kShard, true, seen, {}, {} };
    for (const auto& grant : held)
        demand.held.push_back(
            HeldSlot { grant.id, grant.organisation, grant.requestClass, grant.upstream, 1 });
    return demand;
}

} // namespace

TEST_CASE("The error for an unknown dispatch policy names the registered ones")
{
    const auto unknown = ShardDispatcher::create("fastest", shardSettings());
    REQUIRE(unknown.has_error());
    CHECK(unknown.error().message.find("fair, fcfs, localfair, oracle") != std::string::npos);
}

TEST_CASE("A duplicate end of a slot is ignored")
{
    auto shard = makeShard(shardSettings(), 2);
    shard->apply(Time {}, kRouter, demandOf({ { kOrganisation, kInteractive, 5, 1 } }));
    const auto grants = grantsOf(*shard).at(kRouter).grants;
    REQUIRE(grants.size() == 2);
    shard->apply(Time {}, kRouter, endOf(grants[0], 1));
    shard->apply(Time {}, kRouter, endOf(grants[0], 1));
    CHECK(shard->status().used == 1);
    CHECK(shard->status().ignoredEnds == 1);
}

TEST_CASE("A request whose grant may be in flight is not counted as waiting")
{
    auto shard = makeShard(shardSettings(), 4);
    shard->apply(Time {}, kRouter, demandOf({ { kOrganisation, kInteractive, 1, 1 } }));
    REQUIRE(grantsOf(*shard).at(kRouter).grants.size() == 1);
    shard->apply(Time {}, kRouter, demandOf({ { kOrganisation, kInteractive, 2, 1 } }));
    CHECK(grantsOf(*shard).at(kRouter).grants.size() == 1);
    shard->apply(
        Time {}, kRouter, Demand { kShard, false, 2, { { kOrganisation, kInteractive, 1, 1 } }, {} });
    CHECK(grantsOf(*shard).at(kRouter).grants.size() == 1);
}

TEST_CASE("A full demand on an open connection does not release grants in flight")
{
    auto shard = makeShard(shardSettings(), 2);
    shard->apply(Time {}, kRouter, demandOf({ { kOrganisation, kInteractive, 5, 1 } }));
    const auto sent = grantsOf(*shard).at(kRouter);
    shard->apply(Time {}, kRouter, fullDemand(sent.sequence - 1, {}));
    CHECK(shard->status().used == 2);
    shard->apply(Time {}, kRouter, fullDemand(sent.sequence, { sent.grants[0] }));
    CHECK(shard->status().used == 1);
}

TEST_CASE("Grants lost with a connection are released, and a late end of one changes nothing")
{
    auto shard = makeShard(shardSettings(), 2);
    shard->apply(Time {}, kRouter, demandOf({ { kOrganisation, kInteractive, 5, 1 } }));
    const auto sent = grantsOf(*shard).at(kRouter);
    shard->connectionLost(Time {}, kRouter);
    CHECK(shard->status().used == 2);
    CHECK(shard->status().waiting == 0);
    shard->apply(Time {}, kRouter, fullDemand(sent.sequence - 1, {}));
    CHECK(shard->status().used == 0);
    shard->apply(Time {}, kRouter, endOf(sent.grants[0], 1));
    CHECK(shard->status().used == 0);
    CHECK(shard->status().ignoredEnds == 1);
}

TEST_CASE("A new dispatcher counts the slots granted by earlier ones and uses other grant ids")
{
    auto older = makeShard(shardSettings(1), 3);
    older->apply(Time {}, kRouter, demandOf({ { kOrganisation, kInteractive, 2, 1 } }));
    const auto held = grantsOf(*older).at(kRouter).grants;

    auto newer = makeShard(shardSettings(2), 3);
    auto demand = fullDemand(7, held);
    demand.entries.push_back({ kOrganisation, kInteractive, 9, 1 });
    newer->apply(Time {}, kRouter, demand);
    const auto sent = grantsOf(*newer).at(kRouter);
    CHECK(sent.sequence == 8);
    REQUIRE(sent.grants.size() == 1);
    CHECK(std::ranges::find(held, sent.grants[0].id, &Grant::id) == held.end());
    CHECK(newer->status().used == 3);
}

TEST_CASE("A second dispatcher of a shard on the same router uses other grant ids")
{
    const auto firstGrant = [](Time now) {
        auto shard = makeShard(shardSettings(), 1);
        shard->apply(now, kRouter, demandOf({ { kOrganisation, kInteractive, 1, 1 } }));
        return grantsOf(*shard).at(kRouter).grants.at(0).id;
    };
    CHECK(firstGrant(Time {} + 1s) != firstGrant(Time {} + 2s));
}

TEST_CASE("An empty Grants message requests a full demand from a router that sent none")
{
    auto shard = makeShard(shardSettings(), 1);
    shard->apply(Time {}, kRouter, Ends { kShard, {}, {} });
    const auto sent = grantsOf(*shard);
    REQUIRE(sent.size() == 1);
    CHECK(sent.at(kRouter).sequence == 0);
    CHECK(sent.at(kRouter).grants.empty());
    CHECK(grantsOf(*shard).empty());
}

TEST_CASE("Slots of the upstream with the smallest used fraction are granted first, and a limit may fall "
          "below the use")
{
    auto shard = makeShard(shardSettings(), 0);
    shard->setUpstreams(std::vector { UpstreamCapacity { { 1 }, 2 }, UpstreamCapacity { { 2 }, 4 } });
    shard->apply(Time {}, kRouter, demandOf({ { kOrganisation, kInteractive, 9, 1 } }));
    const auto grants = grantsOf(*shard).at(kRouter).grants;
    REQUIRE(grants.size() == 6);
    CHECK(std::ranges::count(grants, UpstreamId { 1 }, &Grant::upstream) == 2);

    shard->setUpstreams(std::vector { UpstreamCapacity { { 2 }, 2 } });
    shard->apply(Time {}, kRouter, endOf(grants[0], 1));
    shard->apply(Time {}, kRouter, endOf(grants[1], 1));
    CHECK(shard->status().used == 4);
    CHECK(shard->status().slots == 2);
    CHECK(grantsOf(*shard).empty());
}

TEST_CASE("With messages in any order, duplicated or lost, slots stay within the limit and none leaks")
{
    struct Entry {
        std::vector<Grant> held;
        std::vector<Grants> inFlight;
        std::uint64_t seen {};
        bool connected = true;
    };
    CHECK(rc::check([](const std::vector<std::uint16_t>& moves) {
        const auto policy = *rc::gen::element<std::string_view>("fair", "fcfs", "localfair", "oracle");
        const auto slots = *rc::gen::inRange(1U, 6U);
        const auto reserved = *rc::gen::inRange(0U, 3U);
        const auto deferrableSlots = slots > reserved ? slots - reserved : 1;
        auto shard = makeShard(shardSettings(1, reserved), slots, policy);
        auto entries = std::vector<Entry>(3);
        auto ids = std::set<GrantId> {};
        const auto reconnect = [&](std::size_t index, std::uint32_t waiting) {
            auto demand = fullDemand(entries[index].seen, entries[index].held);
            demand.entries.push_back({ kOrganisation, kInteractive, waiting, 1 });
            shard->apply(Time {}, RouterId { index + 1 }, demand);
            entries[index].connected = true;
        };
        for (const auto move : moves) {
            const auto index = move % entries.size();
            const auto router = RouterId { index + 1 };
            auto& entry = entries[index];
            switch (move / 3 % 6) {
            case 0:
                if (entry.connected)
                    shard->apply(Time {}, router,
                        Demand { kShard, false, entry.seen,
                            { { OrganisationId { move / 64U % 3 }, RequestClass { move / 32 % 2 == 1 },
                                move / 256U, 1 } },
                            {} });
                break;
            case 1:
                if (!entry.inFlight.empty()) {
                    const auto& first = entry.inFlight.front();
                    entry.seen = first.sequence;
                    entry.held.insert(entry.held.end(), first.grants.begin(), first.grants.end());
                    entry.inFlight.erase(entry.inFlight.begin());
                }
                break;
            case 2:
                if (!entry.held.empty() && entry.connected) {
                    const auto end = endOf(entry.held.back(), move % 50);
                    entry.held.pop_back();
                    for (auto copies = 0; copies <= move / 64 % 2; ++copies)
                        shard->apply(Time {}, router, end);
                }
                break;
            case 3:
                // Ends while the connection is down are lost.
                if (!entry.held.empty() && !entry.connected)
                    entry.held.pop_back();
                break;
            case 4:
                shard->connectionLost(Time {}, router);
                entry.connected = false;
                entry.inFlight.clear();
                break;
            default:
                reconnect(index, move / 256U);
                break;
            }
            for (auto& [to, grants] : grantsOf(*shard)) {
                RC_ASSERT(entries[to.value - 1].connected);
                for (const auto& grant : grants.grants)
                    RC_ASSERT(ids.insert(grant.id).second);
                if (grants.sequence > 0)
                    entries[to.value - 1].inFlight.push_back(grants);
            }
            const auto status = shard->status();
            RC_ASSERT(status.used <= slots);
            // Requests that wait while a slot is free are deferrable, and deferrable slots are used up.
            RC_ASSERT(status.used == slots || status.waiting == status.waitingDeferrable);
            RC_ASSERT(
                status.used == slots || status.waiting == 0 || status.usedDeferrable >= deferrableSlots);
        }
        for (auto index = std::size_t { 0 }; index < entries.size(); ++index) {
            shard->connectionLost(Time {}, RouterId { index + 1 });
            entries[index].held.clear();
            reconnect(index, 0);
        }
        RC_ASSERT(shard->status().used == 0U);
        RC_ASSERT(shard->status().waiting == 0U);
    }));
}
