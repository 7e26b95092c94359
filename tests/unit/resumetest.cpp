#include <map>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "camphorshunt/core.h"
#include "camphorshunt/logrecord.h"

using namespace camphorshunt;

namespace {

const auto digest = std::string(64, 'a');

auto documentEdit() -> std::string
{
    const auto body = R"({ "service": "s", "upstreamKind": "model-engine",
        "organisations": [{ "name": "o", "weight": 1, "keyDigests": [")"
        + digest + R"("] }],
        "operations": [{ "name": "chat", "repeatable": true, "class": "interactive" }],
        "upstreams": [{ "name": "e1", "address": "127.0.0.1:1", "failureDomain": "a", "slots": 1 },
            { "name": "e2", "address": "127.0.0.1:2", "failureDomain": "a", "slots": 1 }] })";
    return encodeRecord(EditRecord { "s", "edit", {}, "operator", EditKind::Whole, body });
}

/** A core without peers; `sent` holds the last attempt of each request. */
struct SingleCore {
    std::unique_ptr<Core> core;
    Time now { 1s };
    std::map<std::uint64_t, SendAttempt> sent;

    SingleCore()
    {
        auto settings = CoreSettings {};
        settings.name = "r1";
        settings.incarnation = { 1 };
        core = std::move(Core::create(settings)).value();
        handle(Tick {});
        handle(LogRead { "documents", { 0 }, { 1 }, { { { 0 }, documentEdit() } } });
    }

    auto handle(const Event& event) -> void
    {
        auto actions = Actions {};
        now += 20ms;
        core->handle(now, event, actions);
        now += 400ms;
        core->handle(now, Tick {}, actions);
        for (const auto& action : actions) {
            if (const auto* const attempt = std::get_if<SendAttempt>(&action))
                sent[attempt->request.value] = *attempt;
        }
    }

    auto startRequest(std::uint64_t request) -> void
    {
        auto arrived = RequestArrived {};
        arrived.request = { request };
        arrived.service = "s";
        arrived.operation = "chat";
        arrived.keyDigest = digest;
        handle(arrived);
    }

    auto endAttempt(std::uint64_t request, AttemptResult result, std::uint32_t eventsPassed) -> void
    {
        handle(AttemptEnded {
            { request }, sent.at(request).attempt, result, 1, eventsPassed, eventsPassed, true, false });
    }
};

} // namespace

TEST_CASE(
    "A stream that breaks twice resumes at the upstream that runs it, whichever upstream its slots are for")
{
    auto single = SingleCore {};
    for (auto request = std::uint64_t { 1 }; request <= 3; ++request)
        single.startRequest(request);
    REQUIRE(single.sent.size() == 2);
    const auto origin = single.sent.at(1).upstream;

    single.endAttempt(1, AttemptResult::Broken, 4);
    REQUIRE(single.sent.contains(3));
    single.endAttempt(2, AttemptResult::Complete, 9);
    REQUIRE(single.sent.at(1).attempt == 2);
    CHECK(single.sent.at(1).upstream == origin);

    single.endAttempt(1, AttemptResult::Broken, 8);
    REQUIRE(single.sent.at(1).attempt == 3);
    CHECK(single.sent.at(1).resumeAfter == 8);
    CHECK(single.sent.at(1).upstream == origin);
}
