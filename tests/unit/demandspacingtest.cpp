#include <catch2/catch.hpp>

#include "entryservice.h"

using namespace camphorshunt;

TEST_CASE("An entry router reports new backlog immediately and growth of a reported backlog later")
{
    const auto digest = std::string(64, 'a');
    const auto parsed = Document::parse(R"({ "service": "bench", "upstreamKind": "model-engine",
        "organisations": [{ "name": "o", "weight": 1, "keyDigests": [")"
        + digest + R"("] }],
        "operations": [{ "name": "chat", "repeatable": true, "class": "interactive" }],
        "upstreams": [{ "name": "e1", "address": "127.0.0.1:1", "failureDomain": "a", "slots": 2 }] })");
    REQUIRE(parsed.has_value());
    auto now = Time { 1s };
    auto entry = EntryService { RouterId { 2 }, idOf<ServiceId>("bench"), Incarnation { 1 } };
    entry.setDocument(std::make_shared<const Document>(parsed.value()));
    entry.setOwners(now, std::vector<RouterId> { RouterId { 1 } });
    entry.peerConnected(now, RouterId { 1 }, true);

    auto request = std::uint64_t {};
    const auto push = [&](std::uint64_t organisation) {
        entry.queue().push({ RequestId { ++request }, OrganisationId { organisation },
            RequestClass::Interactive, 10.0, now + 60s });
    };
    const auto reportedEntries = [&]() -> std::size_t {
        auto actions = Actions {};
        entry.flush(now, actions);
        return actions.empty() ? 0 : std::get<Demand>(std::get<SendPeer>(actions[0]).message).entries.size();
    };
    reportedEntries();
    push(1);
    CHECK(reportedEntries() == 1);
    now += 5ms;
    push(1);
    CHECK(reportedEntries() == 0);
    now += 5ms;
    push(2);
    CHECK(reportedEntries() == 2);
    push(2);
    CHECK(reportedEntries() == 0);
    now += 100ms;
    CHECK(reportedEntries() == 1);
}
