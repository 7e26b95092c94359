#include <fstream>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

#include "outcomecheck.h"
#include "tracejson.h"
#include "tracereplay.h"

using namespace camphorshunt;
using namespace camphorshunt::ctl;

namespace {

auto readTrace(const std::string& name) -> std::string
{
    const auto file = std::ifstream(std::string(CAMPHORSHUNT_TRACES) + "/" + name + ".jsonl");
    auto text = std::ostringstream {};
    text << file.rdbuf();
    return text.str();
}

auto replay(const std::string& text) -> Result<ReplaySummary>
{
    auto stream = std::istringstream(text);
    return replayTrace(stream);
}

auto replaced(std::string text, std::string_view old, std::string_view with) -> std::string
{
    const auto position = text.find(old);
    REQUIRE(position != std::string::npos);
    return text.replace(position, old.size(), with);
}

const auto request = RequestId { 7 };

auto sent(std::uint32_t attempt) -> Action
{
    auto send = SendAttempt {};
    send.request = request;
    send.attempt = attempt;
    return send;
}

auto answered(RequestOutcome outcome) -> Action { return AnswerCaller { request, 503, outcome, "x", {} }; }

auto ended(AttemptResult result) -> Event
{
    auto event = AttemptEnded {};
    event.request = request;
    event.result = result;
    return event;
}

} // namespace

TEST_CASE("The recorded runs are replayed alike and end as they state")
{
    // Requests in each trace; every one of them has a stated outcome.
    const auto traces = std::vector<std::pair<std::string, std::size_t>> { { "streamed", 1 },
        { "booking", 2 }, { "resumed", 1 }, { "drain", 2 } };
    for (const auto& [name, requests] : traces) {
        CAPTURE(name);
        const auto summary = replay(readTrace(name));
        CHECK((summary ? std::string() : summary.error().text()).empty());
        REQUIRE(summary.has_value());
        CHECK(summary.value().steps > 50);
        CHECK(summary.value().requests == requests);
        CHECK(summary.value().expectedOutcomes == requests);
    }
}

TEST_CASE("The recorded runs hold what they are kept for")
{
    CHECK(readTrace("resumed").find(R"("resumeAfter":4)") != std::string::npos);
    CHECK(readTrace("booking").find(R"("reason":"key-done")") != std::string::npos);
    CHECK(readTrace("drain").find(R"({"DrainRequested":{}})") != std::string::npos);
}

TEST_CASE("A replay that differs names the line and the action at fault")
{
    const auto other = replay(replaced(readTrace("resumed"), R"("resumeAfter":4)", R"("resumeAfter":3)"));
    REQUIRE(other.has_error());
    CHECK(other.error().code == Error::Code::Conflict);
    CHECK(other.error().field.starts_with("line "));
    CHECK(other.error().message.find(R"("resumeAfter":3)") < other.error().message.find("replayed"));
    CHECK(other.error().message.find(R"("resumeAfter":4)") > other.error().message.find("replayed"));
}

TEST_CASE("A stated outcome that did not come fails the replay")
{
    const auto wrong
        = replay(replaced(readTrace("streamed"), R"("outcome": "done")", R"("outcome": "unknown")"));
    REQUIRE(wrong.has_error());
    CHECK(wrong.error().text().find("ended as done, stated is unknown") != std::string::npos);
    CHECK(parseExpectedOutcome(R"({"expect":{"request":1,"outcome":"fine"}})").error().field == "expect");
    CHECK(parseExpectedOutcome(R"({"expect":{"outcome":"done"}})").error().field == "expect");
}

TEST_CASE("A trace that a killed daemon left unfinished is replayed up to its last whole line")
{
    const auto head = traceHead({ "r1", "a", Incarnation { 1 }, {}, 1, 20ms });
    CHECK(replay(head + "\n{\"time\":1,\"ev").value().steps == 0);
    CHECK(replay(head + "\n{\"time\":1,\"ev\n").error().code == Error::Code::Malformed);
    CHECK(replay("{}\n").error().field == "line 1");
}

TEST_CASE("A request that was told not-run is not sent, and one that was sent is not told not-run")
{
    auto after = OutcomeCheck {};
    CHECK(after.checkStep(Tick {}, { answered(RequestOutcome::NotRun) }));
    CHECK(after.checkStep(Tick {}, { sent(1) }).has_error());

    auto open = OutcomeCheck {};
    CHECK(open.checkStep(Tick {}, { sent(1) }));
    CHECK(open.checkStep(Tick {}, { answered(RequestOutcome::NotRun) }).has_error());

    auto ran = OutcomeCheck {};
    CHECK(ran.checkStep(Tick {}, { sent(1) }));
    CHECK(ran.checkStep(ended(AttemptResult::Broken), { answered(RequestOutcome::NotRun) }).has_error());

    auto unsent = OutcomeCheck {};
    CHECK(unsent.checkStep(Tick {}, { sent(1) }));
    CHECK(unsent.checkStep(ended(AttemptResult::NotSent), { answered(RequestOutcome::NotRun) }));
}

TEST_CASE("A request that is given two final answers breaks a rule")
{
    auto check = OutcomeCheck {};
    CHECK(check.checkStep(Tick {}, { answered(RequestOutcome::Unknown) }));
    CHECK(check.checkStep(Tick {}, { FinishCaller { request, RequestOutcome::Done, {} } }).has_error());
}
