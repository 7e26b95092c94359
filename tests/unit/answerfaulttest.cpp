#include "scriptedupstream.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace camphorshunt::test;

namespace {

const auto signedHead = std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: first\r\nX-Response-Signature: s\r\n");

/** What a connection says of an answer that ends after these bytes. */
auto faultOf(std::string_view bytes, bool withReset) -> std::string
{
    auto upstream = ScriptedUpstream {};
    auto answer = OneAnswer { "first" };
    upstream.send(answer);
    upstream.answer(bytes);
    upstream.end(withReset);
    REQUIRE(answer.ended);
    CHECK((*answer.ended == AnswerEnd::Broken) != answer.connection->fault().empty());
    return std::string(answer.connection->fault());
}

auto repeat(std::string_view text, int count) -> std::string
{
    auto repeated = std::string {};
    for (auto index = 0; index < count; ++index)
        repeated += text;
    return repeated;
}

} // namespace

// An operator could not tell a reset from a malformed answer or an early end.
TEST_CASE("A broken answer comes with the reason for which it counts as broken")
{
    const auto chunked = signedHead + "Transfer-Encoding: chunked\r\n\r\n";
    const auto unfinished = signedHead + "Content-Length: 9\r\n\r\nx";
    CHECK(faultOf("HTTP/1.1 200", false) == "the connection ended before the answer's head was complete");
    CHECK(faultOf(unfinished, false) == "the connection ended inside the body");
    CHECK(faultOf(unfinished, true) == "the connection failed: Connection reset by peer");
    CHECK(faultOf(chunked + "zz\r\n", false) == "the answer is malformed: bad chunk");
    CHECK(faultOf("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\nx", false)
        == "the connection ended after an answer to another request");
    CHECK(faultOf(repeat("HTTP/1.1 100 Continue\r\n\r\n", 9), false)
        == "too many interim responses or answers to other requests");
    CHECK(faultOf("HTTP/1.1 000 Unknown\r\n\r\n", false) == "the answer's status is invalid: 0");
    CHECK(faultOf(signedHead + "X Bad: 1\r\n\r\n", false) == "the answer is malformed: bad field");
    CHECK(faultOf(signedHead + "Content-Length: 1\r\n\r\nx", false).empty());
    CHECK(faultOf(signedHead + "\r\nx", false).empty());
}
