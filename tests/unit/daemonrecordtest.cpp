#include <string>

#include <catch2/catch.hpp>

#include "tracejson.h"

using namespace camphorshunt;

TEST_CASE("A recorded step is read back as it was written")
{
    const auto events = std::vector<Event> { RequestArrived { RequestId { ~0ULL }, "chat", "complete", "ab",
                                                 "k", 1500ms, 1, 2, 3 },
        AttemptEnded { RequestId { 1 }, 2, AttemptResult::Silent, 3, 4, 5, true, false },
        PeerReceived {
            RouterId { 4 }, Demand { { ServiceId { 1 }, 2 }, true, 3, { { OrganisationId { 5 } } }, {} } },
        LogRead { "documents", Offset { 1 }, Offset { 3 }, { { Offset { 2 }, "line\n\"quoted\"" } } },
        VmsListed { { { "r1", VmRole::Upstream, { "::1", 80 }, "a", true } } }, DrainRequested {}, Tick {} };
    const auto actions = Actions { AnswerCaller { RequestId { 1 }, 503, RequestOutcome::NotRun, "full", 1s },
        SendPeer { RouterId { 1 }, Grants { { ServiceId { 1 }, 0 }, 9, {} } },
        WriteLog { LogLevel::Warning, "ejected", { { "upstream", "e1" } } }, Exit {} };
    for (const auto& event : events) {
        const auto line = traceLine(Time(5s), event, actions);
        const auto step = parseTraceLine(line);
        REQUIRE(step.has_value());
        CHECK(step.value().time == Time(5s));
        CHECK(step.value().event.index() == event.index());
        CHECK(traceLine(step.value().time, step.value().event, step.value().actions) == line);
    }
}

TEST_CASE("A recorded member update keeps its refutation number")
{
    const auto update = MemberUpdate { RouterId { 1 }, Incarnation { 2 }, MemberState::Alive, 3 };
    const auto event = PeerReceived { RouterId { 1 }, Probe { 1, RouterId { 2 }, {}, { update }, {} } };
    const auto step = parseTraceLine(traceLine(Time(5s), event, {}));
    REQUIRE(step.has_value());
    const auto& read = std::get<Probe>(std::get<PeerReceived>(step.value().event).message);
    CHECK(read.news.at(0).refutation == 3);
}

TEST_CASE("A line that is no recorded step is refused with the field at fault")
{
    CHECK(parseTraceLine("{").error().message == "the line is not a JSON object");
    CHECK(parseTraceLine(R"({"time":1,"event":{"Tock":{}},"actions":[]})").error().field == "event");
    CHECK(parseTraceLine(R"({"time":1,"event":{"Tick":{}},"actions":[{"Exit":1}]})").error().field
        == "actions");
    CHECK(parseTraceHeader("{}").has_error());
}
