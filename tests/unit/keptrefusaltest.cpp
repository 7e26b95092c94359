#include "scriptedupstream.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace camphorshunt::test;

namespace {

constexpr auto refusalWithoutId
    = std::string_view("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nKeep-Alive: "
                       "timeout=30\r\nContent-Length: 0\r\n\r\n");

} // namespace

TEST_CASE(
    "A refusal without an id that is written once more on a kept connection does not end the next request")
{
    auto upstream = ScriptedUpstream {};
    auto first = OneAnswer { "first" };
    upstream.send(first);
    upstream.answer(refusalWithoutId);
    REQUIRE(first.ended == AnswerEnd::Framed);
    REQUIRE(first.intake.notRun());
    upstream.pool.release(first.connection, first.intake.idleTimeout());

    auto second = OneAnswer { "second" };
    upstream.send(second);
    REQUIRE(second.connection == first.connection);
    upstream.answer(refusalWithoutId);
    CHECK_FALSE(second.ended);
    CHECK_FALSE(second.intake.notRun());
    upstream.answer("HTTP/1.1 200 OK\r\nX-Attempt-Id: second\r\nX-Response-Signature: s\r\nContent-Length: "
                    "4\r\n\r\ndone");
    REQUIRE(second.ended == AnswerEnd::Framed);
    CHECK(second.intake.isComplete(*second.ended));
    CHECK(second.intake.finish().ends_with("done"));
}
