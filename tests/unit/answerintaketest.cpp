#include "answerintake.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;

namespace {

using Head = AnswerIntake::Head;

auto header(unsigned status, std::string_view attempt = "a1") -> platform::ResponseHeader
{
    auto made = platform::ResponseHeader {};
    made.result(status);
    made.set("X-Attempt-Id", std::string(attempt));
    made.set("X-Response-Signature", "s");
    return made;
}

auto streamRoute(bool resumable) -> Route
{
    auto route = Route {};
    route.kind = RequestKind::Stream;
    route.resumable = resumable;
    return route;
}

} // namespace

TEST_CASE("An answer to another request is reported as mismatched, and none of it is stored")
{
    const auto route = streamRoute(true);
    auto intake = AnswerIntake {};
    CHECK(intake.consumeHead(header(200, "other"), { "a1", route }) == Head::Mismatched);
    CHECK(!intake.hasHead());
    CHECK(intake.consumeBody("id: 1\n\n").empty());
}

TEST_CASE("A refusal with a proof of non-execution is recognised, and its body is not passed on")
{
    const auto route = streamRoute(false);
    auto intake = AnswerIntake {};
    auto refusal = header(503, "");
    refusal.set("X-Not-Executed", "1");
    CHECK(intake.consumeHead(refusal, { "a1", route }) == Head::NotRun);
    CHECK(intake.notRun());
    CHECK(intake.consumeBody("full").empty());
}

// A second copy of a refusal, late on a reused connection, let the request run twice: the first run went on.
TEST_CASE("A refusal of another request is not taken for a proof that this one has not run")
{
    const auto route = streamRoute(false);
    auto intake = AnswerIntake {};
    auto refusal = header(503, "other");
    refusal.set("X-Not-Executed", "1");
    CHECK(intake.consumeHead(refusal, { "a1", route }) == Head::Mismatched);
    CHECK(!intake.notRun());
}

TEST_CASE(
    "A refusal without an id on a kept connection is not taken for a proof that this request has not run")
{
    const auto route = streamRoute(false);
    auto intake = AnswerIntake {};
    auto refusal = header(503, "");
    refusal.set("X-Not-Executed", "1");
    auto expected = AnswerIntake::Expected { "a1", route };
    expected.isFirstAnswer = false;
    CHECK(intake.consumeHead(refusal, expected) == Head::Mismatched);
    CHECK(!intake.notRun());
    CHECK(intake.consumeHead(header(200), expected) == Head::Accepted);
}

TEST_CASE("An answer without an upstream's signature is not passed on")
{
    const auto route = streamRoute(false);
    auto intake = AnswerIntake {};
    auto withoutSignature = header(200);
    withoutSignature.erase("X-Response-Signature");
    CHECK(intake.consumeHead(withoutSignature, { "a1", route }) == Head::NotGenuine);
    CHECK(!intake.hasBegun());
}

TEST_CASE("A resumable stream continues with another upstream's events, but not with another kind of answer")
{
    const auto route = streamRoute(true);
    auto intake = AnswerIntake {};
    REQUIRE(intake.consumeHead(header(200), { "a1", route }) == Head::Accepted);
    CHECK(!intake.isFinalStream());
    CHECK(!intake.consumeBody("id: 1\ndata: x\n\nid: 2\nda").empty());
    CHECK(intake.hasBegun());
    CHECK(intake.lastEventId() == "1");

    intake.discardUnsent();
    intake.beginAttempt();
    CHECK(!intake.hasHead());
    CHECK(intake.consumeHead(header(500), { "a1", route }) == Head::NotResumed);
    intake.beginAttempt();
    CHECK(intake.consumeHead(header(200), { "a1", route }) == Head::Accepted);
    const auto rest = intake.consumeBody("id: 2\ndata: y\n\n");
    CHECK(rest.find("id: 2\ndata: y") != std::string::npos);
    CHECK(rest.find("HTTP/1.1") == std::string::npos);
    CHECK(intake.sentStatus() == 200);
}

TEST_CASE("A failure that has not been passed on can be replaced by another answer")
{
    auto route = Route {};
    route.kind = RequestKind::Idempotent;
    auto intake = AnswerIntake {};
    REQUIRE(intake.consumeHead(header(500), { "a1", route }) == Head::Accepted);
    CHECK(intake.consumeBody("broken").empty());
    CHECK(!intake.hasBegun());
    intake.discardUnsent();
    intake.beginAttempt();
    REQUIRE(intake.consumeHead(header(200), { "a1", route }) == Head::Accepted);
    intake.consumeBody("good");
    const auto answer = intake.finish();
    CHECK(answer.find("200") != std::string::npos);
    CHECK(answer.ends_with("good"));
}

TEST_CASE("A stream that has begun is not continued with another status or another type of content")
{
    const auto route = streamRoute(true);
    auto intake = AnswerIntake {};
    REQUIRE(intake.consumeHead(header(200), { "a1", route }) == Head::Accepted);
    REQUIRE(!intake.consumeBody("id: 1\ndata: x\n\n").empty());
    for (const auto status : { 201U, 204U, 206U, 302U, 404U, 500U }) {
        intake.beginAttempt();
        CHECK(intake.consumeHead(header(status), { "a1", route }) == Head::NotResumed);
    }
    intake.beginAttempt();
    auto page = header(200);
    page.set("Content-Type", "application/json");
    CHECK(intake.consumeHead(page, { "a1", route }) == Head::NotResumed);
    intake.beginAttempt();
    auto rest = header(200);
    rest.set("Content-Type", "Text/Event-Stream; charset=utf-8");
    CHECK(intake.consumeHead(rest, { "a1", route }) == Head::Accepted);
}
