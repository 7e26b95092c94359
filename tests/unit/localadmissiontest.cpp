#include <map>

#include <catch2/catch.hpp>

#include "entryservice.h"

using namespace camphorshunt;

TEST_CASE(
    "A router without a dispatcher serves interactive requests of waiting organisations in round-robin order")
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

    auto owners = std::map<RequestId, int> {};
    for (auto request = std::uint64_t { 1 }; request <= 30; ++request) {
        const auto organisation = static_cast<int>(request % 3);
        owners[RequestId { request }] = organisation;
        entry.queue().push(
            { RequestId { request }, OrganisationId { 7U + static_cast<unsigned>(organisation) },
                organisation == 2 ? RequestClass::Deferrable : RequestClass::Interactive, 10.0, now + 60s });
    }
    auto served = std::map<int, int> {};
    for (auto round = 0; round < 6; ++round) {
        now += 1s;
        auto assignments = std::vector<Assignment> {};
        entry.admitLocally(now, assignments);
        for (const auto& assignment : assignments) {
            ++served[owners.at(assignment.request)];
            entry.release(assignment.grant, 10.0, false, AttemptResult::Complete);
        }
    }
    CHECK(served[0] == 6);
    CHECK(served[1] == 6);
    CHECK(served[2] == 0);
}
