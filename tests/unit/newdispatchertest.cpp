#include <map>

#include <catch2/catch.hpp>

#include "dutytable.h"

using namespace camphorshunt;

namespace {

const auto service = idOf<ServiceId>("bench");
const auto shard = ShardId { service, 0 };

auto document() -> std::shared_ptr<const Document>
{
    const auto digest = std::string(64, 'a');
    const auto parsed = Document::parse(R"({ "service": "bench", "upstreamKind": "model-engine",
        "organisations": [{ "name": "o", "weight": 1, "keyDigests": [")"
        + digest + R"("] }],
        "operations": [{ "name": "chat", "repeatable": true, "class": "interactive" }],
        "upstreams": [{ "name": "e1", "address": "127.0.0.1:1", "failureDomain": "a", "slots": 8 }] })");
    REQUIRE(parsed.has_value());
    return std::make_shared<const Document>(parsed.value());
}

/** Router 1 of three, which has just become the dispatcher. */
struct NewDispatcher {
    DutyTable duties { RouterId { 1 }, Incarnation { 1 }, 1 };
    Time now { 1s };

    NewDispatcher()
    {
        duties.setDocument(document());
        const auto live = std::vector { RouterId { 1 }, RouterId { 2 }, RouterId { 3 } };
        duties.setLiveRouters(live);
    }

    auto demand(std::uint64_t router) -> void
    {
        auto actions = Actions {};
        const auto waiting = DemandEntry { OrganisationId { router }, RequestClass::Interactive, 20, 10 };
        duties.handle(now, RouterId { router }, Demand { shard, true, 0, { waiting }, {} }, actions);
    }

    auto granted() -> std::map<std::uint64_t, std::size_t>
    {
        auto actions = Actions {};
        duties.grant(now, actions);
        auto counts = std::map<std::uint64_t, std::size_t> {};
        for (const auto& action : actions) {
            const auto* const send = std::get_if<SendPeer>(&action);
            const auto* const grants = send ? std::get_if<Grants>(&send->message) : nullptr;
            if (grants && !grants->grants.empty())
                counts[send->router.value] += grants->grants.size();
        }
        return counts;
    }
};

} // namespace

TEST_CASE("A new dispatcher grants slots only after the demand of every live router has arrived")
{
    auto dispatcher = NewDispatcher {};
    dispatcher.demand(2);
    CHECK(dispatcher.granted().empty());
    dispatcher.demand(1);
    dispatcher.demand(3);
    const auto counts = dispatcher.granted();
    CHECK(counts.size() == 3);
    for (const auto& [router, count] : counts)
        CHECK((count == 2 || count == 3));
}

TEST_CASE("A new dispatcher grants slots after a limited wait for a router that sends no demand")
{
    auto dispatcher = NewDispatcher {};
    dispatcher.demand(2);
    CHECK(dispatcher.granted().empty());
    dispatcher.now += 1s;
    CHECK(dispatcher.granted()[2] == 8);
}
