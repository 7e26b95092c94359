#include <catch2/catch.hpp>

#include "dutytable.h"
#include "entryservice.h"

using namespace camphorshunt;

namespace {

constexpr auto dispatcher = RouterId { 1 };
constexpr auto entryRouter = RouterId { 2 };
const auto service = idOf<ServiceId>("bench");

auto documentWith(const std::string& policy, std::uint32_t shards) -> std::shared_ptr<const Document>
{
    const auto digest = std::string(64, 'a');
    const auto parsed = Document::parse(R"({ "service": "bench", "upstreamKind": "model-engine",
        "organisations": [{ "name": "o", "weight": 1, "keyDigests": [")"
        + digest + R"("] }],
        "operations": [{ "name": "chat", "repeatable": true, "class": "interactive" }],
        "upstreams": [{ "name": "e1", "address": "127.0.0.1:1", "failureDomain": "a", "slots": 2 },
            { "name": "e2", "address": "127.0.0.1:2", "failureDomain": "a", "slots": 2 }],
        "dispatch": { "policy": ")"
        + policy + R"(", "shards": )" + std::to_string(shards) + " } }");
    REQUIRE(parsed.has_value());
    return std::make_shared<const Document>(parsed.value());
}

/** One entry router and its dispatcher; all messages are delivered in order. */
struct Pair {
    DutyTable duties { dispatcher, Incarnation { 1 }, 1 };
    EntryService entry { entryRouter, service, Incarnation { 1 } };
    Time now { 1s };
    std::uint64_t requests {};

    auto setDocuments(const std::shared_ptr<const Document>& document) -> void
    {
        duties.setDocument(document);
        setEntryDocument(document);
    }

    auto setEntryDocument(const std::shared_ptr<const Document>& document) -> void
    {
        entry.setDocument(document);
        entry.setOwners(now, std::vector<RouterId>(document->dispatch.shards, dispatcher));
    }

    auto push() -> void
    {
        const auto pushed = entry.queue().push({ RequestId { ++requests }, idOf<OrganisationId>("o"),
            RequestClass::Interactive, 10.0, now + 60s });
        REQUIRE_FALSE(pushed.refused);
    }

    auto step(std::vector<Assignment>& assignments) -> void
    {
        now += 20ms;
        auto actions = Actions {};
        entry.flush(now, actions);
        for (const auto& action : std::exchange(actions, {})) {
            const auto& message = std::get<SendPeer>(action).message;
            if (const auto* const demand = std::get_if<Demand>(&message))
                duties.handle(now, entryRouter, *demand, actions);
            else
                duties.handle(now, entryRouter, std::get<Ends>(message));
        }
        duties.grant(now, actions);
        for (const auto& action : actions) {
            if (const auto* const send = std::get_if<SendPeer>(&action))
                entry.applyGrants(now, dispatcher, std::get<Grants>(send->message), assignments);
        }
    }

    /** Serves `count` new requests; false if not all of them are granted slots within 100 rounds. */
    auto serve(std::size_t count) -> bool
    {
        for (auto pushed = std::size_t {}; pushed < count; ++pushed)
            push();
        auto done = std::size_t {};
        for (auto round = 0; round < 100 && done < count; ++round) {
            auto assignments = std::vector<Assignment> {};
            step(assignments);
            for (const auto& assignment : assignments)
                entry.release(assignment.grant, 10.0, false, AttemptResult::Complete);
            done += assignments.size();
        }
        return done == count;
    }
};

} // namespace

TEST_CASE("A service continues after a change of its dispatch policy")
{
    auto pair = Pair {};
    pair.entry.peerConnected(pair.now, dispatcher, true);
    pair.setDocuments(documentWith("fair", 1));
    REQUIRE(pair.serve(20));
    pair.setDocuments(documentWith("fcfs", 1));
    CHECK(pair.serve(20));
}

TEST_CASE(
    "A service continues when the entry router receives a document with more shards before the dispatcher")
{
    auto pair = Pair {};
    pair.entry.peerConnected(pair.now, dispatcher, true);
    pair.setDocuments(documentWith("fair", 1));
    REQUIRE(pair.serve(20));
    const auto sharded = documentWith("fair", 2);
    pair.setEntryDocument(sharded);
    auto assignments = std::vector<Assignment> {};
    pair.step(assignments);
    pair.duties.setDocument(sharded);
    CHECK(pair.serve(20));
    const auto& shards = pair.duties.duties();
    CHECK((shards.contains({ service, 0 }) && shards.contains({ service, 1 })));
}

TEST_CASE("Entry routers accept the grants of a dispatcher that lost and regained its duty")
{
    auto pair = Pair {};
    pair.entry.peerConnected(pair.now, dispatcher, true);
    pair.setDocuments(documentWith("fair", 1));
    REQUIRE(pair.serve(20));
    pair.entry.setOwners(pair.now, std::vector<RouterId> { RouterId { 3 } });
    pair.now += 10s;
    auto actions = Actions {};
    pair.duties.tick(
        pair.now, [](const ShardId&) { return RouterId { 3 }; }, actions);
    REQUIRE(pair.duties.duties().empty());
    pair.entry.setOwners(pair.now, std::vector<RouterId> { dispatcher });
    CHECK(pair.serve(20));
}

TEST_CASE("A dispatcher that ends an orphaned duty requests a full demand from routers with waiting requests")
{
    auto pair = Pair {};
    pair.entry.peerConnected(pair.now, dispatcher, true);
    pair.setDocuments(documentWith("fair", 1));
    for (auto count = 0; count < 5; ++count)
        pair.push();
    auto assignments = std::vector<Assignment> {};
    for (auto round = 0; round < 10; ++round)
        pair.step(assignments);
    REQUIRE(assignments.size() == 4);

    pair.now += 10s;
    auto actions = Actions {};
    pair.duties.tick(
        pair.now, [](const ShardId&) { return RouterId { 3 }; }, actions);
    REQUIRE(pair.duties.duties().empty());
    pair.step(assignments);
    pair.step(assignments);
    CHECK(pair.duties.duties().contains({ service, 0 }));
}
