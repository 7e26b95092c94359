#include "httptestsupport.h"
#include "invalidheads.h"
#include "scriptedupstream.h"
#include "takeoverattempt.h"

// Answers whose head HTTP does not allow reach neither callers nor any other reader, and nothing that stands
// in them or after them is taken for an answer.

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace camphorshunt::test;
using namespace camphorshunt::net::test;
using namespace std::chrono_literals;

namespace {

constexpr auto fields = std::string_view("X-Attempt-Id: second\r\nX-Response-Signature: s\r\n");

/** Sends the bytes in one piece, or with a pause of the sender before each part. */
auto sendInParts(ScriptedUpstream& upstream, std::string_view text, bool inParts)
{
    if (inParts) {
        const auto endOfHead = text.find("\r\n\r\n") + 4;
        for (const auto part : { text.substr(0, 11), text.substr(11, endOfHead - 11) })
            upstream.answer(part);
        text.remove_prefix(endOfHead);
    }
    if (!text.empty())
        upstream.answer(text);
}

auto checkRejected(const InvalidAnswer& invalid, bool inParts, bool isKept) -> void
{
    CAPTURE(invalid.name, inParts, isKept);
    auto upstream = ScriptedUpstream {};
    if (isKept)
        upstream.keepConnection();
    auto second = OneAnswer { "second" };
    second.route.kind = RequestKind::Stream;
    upstream.send(second);
    sendInParts(upstream, invalid.text, inParts);
    if (invalid.ends)
        upstream.end(false);
    CHECK(second.ended == AnswerEnd::Broken);
    CHECK_FALSE(second.intake.hasHead());
    CHECK(second.passed.empty());
    CHECK_FALSE(second.connection->isOpen());
    second.connection->close();
}

/** Each in one piece on a new connection, and in parts on a kept one. */
auto checkAllRejected(std::span<const InvalidAnswer> answers) -> void
{
    for (const auto& invalid : answers) {
        checkRejected(invalid, false, false);
        checkRejected(invalid, true, true);
    }
}

auto checkNoTakeover(std::span<const InvalidAnswer> answers) -> void
{
    for (const auto& invalid : answers) {
        CAPTURE(invalid.name);
        CHECK(endOfTakeover(invalid.text) == PlacementEnd::Broken);
    }
}

/** The same with the client of the daemon, the store, the tool and the load tool. */
auto checkClientRejects(std::span<const InvalidAnswer> answers) -> void
{
    for (const auto& invalid : answers) {
        CAPTURE(invalid.name);
        auto context = boost::asio::io_context {};
        const auto end = invalid.ends ? ConnectionEnd::InOrder : ConnectionEnd::None;
        const auto server = RawServer(context, invalid.text, end);
        const auto client = net::HttpClient::create(context, 1, 10s);
        auto call = RecordedCall {};
        client->start(callTo(server.endpoint()), call.handlers());
        REQUIRE(runUntil(context, [&] { return call.ended(); }));
        CHECK(call.ends.front() == net::HttpCallEnd::Broken);
        CHECK(call.head.status == 0);
        CHECK(call.body.empty());
    }
}

} // namespace

TEST_CASE(
    "A message with a status line that HTTP/1 does not have is no answer, and none stands in it or after it")
{
    checkAllRejected(answersOfInvalidStatusLine(fields));
}

TEST_CASE("An upstream that answers with a status line which HTTP/1 does not have takes no request over")
{
    checkNoTakeover(answersOfInvalidStatusLine(fields));
}

TEST_CASE("A call whose answer has a status line that HTTP/1 does not have is broken")
{
    checkClientRejects(answersOfInvalidStatusLine(fields));
}

TEST_CASE("An answer with a header line that is no field, or with two lengths, is no answer")
{
    checkAllRejected(answersOfInvalidFields(fields));
}

TEST_CASE("A call whose answer has a header line that is no field, or two lengths, is broken")
{
    checkClientRejects(answersOfInvalidFields(fields));
}

TEST_CASE("An answer in a transfer coding other than chunked is no answer")
{
    checkAllRejected(answersOfUnknownCoding(fields));
}

TEST_CASE("A call whose answer is in a transfer coding other than chunked is broken")
{
    checkClientRejects(answersOfUnknownCoding(fields));
}

TEST_CASE("Interim responses before an answer are skipped")
{
    const auto interim
        = std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
    const auto inParts = GENERATE(false, true);
    auto upstream = ScriptedUpstream {};
    auto answer = OneAnswer { "second" };
    upstream.send(answer);
    sendInParts(upstream, interim + properAnswer(fields), inParts);
    CHECK(answer.ended == AnswerEnd::Framed);
    CHECK(answer.intake.status() == 200);
    CHECK((answer.passed + answer.intake.finish()).ends_with("\r\n\r\ngood"));
    CHECK(answer.connection->isReusable());
    answer.connection->close();
}
