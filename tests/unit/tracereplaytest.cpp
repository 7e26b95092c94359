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

TEST_CASE("The recorded traces replay identically and end with their stated outcomes")
{
    // The number of requests in each trace; every request has a stated outcome.
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

TEST_CASE("The recorded traces contain the cases that they were recorded for")
{
    CHECK(readTrace("resumed").find(R"("resumeAfter":4)") != std::string::npos);
    CHECK(readTrace("booking").find(R"("reason":"key-done")") != std::string::npos);
    CHECK(readTrace("drain").find(R"({"DrainRequested":{}})") != std::string::npos);
}

TEST_CASE("A replay that differs is reported with the line, the recorded and the replayed action")
{
    const auto other = replay(replaced(readTrace("resumed"), R"("resumeAfter":4)", R"("resumeAfter":3)"));
    REQUIRE(other.has_error());
    CHECK(other.error().code == Error::Code::Conflict);
    CHECK(other.error().field.starts_with("line "));
    CHECK(other.error().message.find(R"("resumeAfter":3)") < other.error().message.find("replayed"));
    CHECK(other.error().message.find(R"("resumeAfter":4)") > other.error().message.find("replayed"));
}

TEST_CASE("A request that ends with another outcome than stated fails the replay")
{
    const auto wrong
        = replay(replaced(readTrace("streamed"), R"("outcome": "done")", R"("outcome": "unknown")"));
    REQUIRE(wrong.has_error());
    CHECK(wrong.error().text().find("ended as done, stated is unknown") != std::string::npos);
    CHECK(parseExpectedOutcome(R"({"expect":{"request":1,"outcome":"fine"}})").error().field == "expect");
    CHECK(parseExpectedOutcome(R"({"expect":{"outcome":"done"}})").error().field == "expect");
}

TEST_CASE("A trace truncated when its daemon was killed is replayed up to the last complete line")
{
    const auto head = traceHeader({ "r1", "a", Incarnation { 1 }, {}, 1, 20ms });
    CHECK(replay(head + "\n{\"time\":1,\"ev").value().steps == 0);
    CHECK(replay(head + "\n{\"time\":1,\"ev\n").error().code == Error::Code::Malformed);
    CHECK(replay("{}\n").error().field == "line 1");
}

TEST_CASE("A request answered as not-run is never sent, and a request that may have run is never answered as "
          "not-run")
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

TEST_CASE("A second final answer to a request is reported as a broken rule")
{
    auto check = OutcomeCheck {};
    CHECK(check.checkStep(Tick {}, { answered(RequestOutcome::Unknown) }));
    CHECK(check.checkStep(Tick {}, { FinishCaller { request, RequestOutcome::Done, {} } }).has_error());
}
