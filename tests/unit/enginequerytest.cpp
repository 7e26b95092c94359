#include "liveness/enginequery.h"

#include "httptestsupport.h"
#include "invalidheads.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace camphorshunt::net::test;

namespace {

/** The result of a query that an engine answers with these bytes. */
auto queried(std::string answer, ConnectionEnd end) -> EngineQueryResult
{
    auto context = boost::asio::io_context {};
    const auto engine = RawServer(context, std::move(answer), end);
    auto result = std::optional<EngineQueryResult> {};
    EngineQuerySender(context).send(
        engine.endpoint(), [&result](const EngineQueryResult& given) { result = given; });
    REQUIRE(runUntil(context, [&result] { return result.has_value(); }));
    return *result;
}

constexpr auto report = std::string_view(R"({"born":77})");
using Outcome = EngineQueryResult::Outcome;

} // namespace

TEST_CASE("The start of an engine is taken from a complete answer only")
{
    const auto body = std::string(report);
    const auto head = std::string("HTTP/1.1 200 OK\r\n");
    const auto framed = head + "Content-Length: 11\r\n\r\n" + body;
    const auto tooShort = head + "Content-Length: 12\r\n\r\n" + body;
    const auto chunk = head + "Transfer-Encoding: chunked\r\n\r\nb\r\n" + body + "\r\n";
    const auto behindInterim = "HTTP/1.1 100 Continue\r\n\r\n" + framed;
    const auto unframed = head + "\r\n" + body;
    for (const auto& whole : { framed, behindInterim, chunk + "0\r\n\r\n" }) {
        CAPTURE(whole);
        const auto result = queried(whole, ConnectionEnd::None);
        CHECK(result.outcome == Outcome::Answered);
        CHECK(result.startedAt == std::chrono::milliseconds(77));
    }
    CHECK(queried(unframed, ConnectionEnd::InOrder).startedAt == std::chrono::milliseconds(77));
    for (const auto& cut : { unframed, tooShort, chunk }) {
        CAPTURE(cut);
        CHECK(queried(cut, ConnectionEnd::Reset).outcome == Outcome::Unanswered);
    }
}

TEST_CASE("An engine whose query is answered with what is no answer has not answered")
{
    for (const auto& answers : { test::answersOfInvalidStatusLine(""), test::answersOfInvalidFields(""),
             test::answersOfUnknownCoding("") }) {
        for (const auto& invalid : answers) {
            CAPTURE(invalid.name);
            CHECK(queried(invalid.text, invalid.ends ? ConnectionEnd::InOrder : ConnectionEnd::None).outcome
                == Outcome::Unanswered);
        }
    }
}

TEST_CASE("An engine that sends interim responses without end has not answered")
{
    auto responses = std::string {};
    for (auto index = 0; index < 1000; ++index)
        responses += "HTTP/1.1 100 Continue\r\n\r\n";
    responses += "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n" + std::string(report);
    CHECK(queried(responses, ConnectionEnd::None).outcome == Outcome::Unanswered);
}
