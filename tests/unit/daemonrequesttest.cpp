#include "callerrequest.h"

#include <string>

#include <catch2/catch.hpp>

using namespace camphorshunt;

namespace {

auto request(std::string method, std::string target, net::HttpHeaders headers = {}) -> net::HttpRequest
{
    return { std::move(method), std::move(target), std::move(headers), "body" };
}

auto refusalOf(net::HttpRequest given) -> std::pair<int, std::string>
{
    const auto read = readCallerRequest(RequestId { 7 }, given);
    const auto* const refusal = std::get_if<CallerRefusal>(&read);
    return refusal == nullptr ? std::pair(0, std::string {}) : std::pair(+refusal->status, refusal->reason);
}

} // namespace

TEST_CASE("A caller's request is parsed from its path and headers")
{
    const auto traceparent = std::string("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    auto given = request("POST", "/v1/chat/complete",
        { { "authorization", "Bearer abc" }, { "Idempotency-Key", "k1" },
            { "Camphorshunt-Deadline-Ms", "1500" }, { "Camphorshunt-Output-Tokens", "20" },
            { "traceparent", traceparent } });
    const auto read = readCallerRequest(RequestId { 7 }, given);
    const auto& accepted = std::get<CallerRequest>(read);
    CHECK(accepted.arrived.service == "chat");
    CHECK(accepted.arrived.operation == "complete");
    // SHA-256 of "abc", FIPS 180-2 appendix B.1.
    CHECK(accepted.arrived.keyDigest == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(accepted.arrived.idempotencyKey == "k1");
    CHECK(accepted.arrived.deadline == Duration(1500ms));
    CHECK(accepted.arrived.outputTokens == 20);
    CHECK(accepted.arrived.bodyBytes == 4);
    CHECK(accepted.body.traceparent == traceparent);
    CHECK(*accepted.body.body == "body");
}

TEST_CASE("A request with an invalid path, method or header is refused with its status and reason")
{
    using Refused = std::pair<int, std::string>;
    for (const auto* target :
        { "/", "/v1/chat", "/v1//complete", "/v1/chat/", "/v1/chat/a/b", "/v1/chat/a?b" })
        CHECK(refusalOf(request("POST", target)) == Refused { 404, "unknown-path" });
    CHECK(refusalOf(request("GET", "/v1/chat/complete")) == Refused { 405, "method-not-allowed" });
    for (const auto* deadline : { "0", "-1", "1.5", "soon", "99999999999999999999" }) {
        const auto headers = net::HttpHeaders { { "Camphorshunt-Deadline-Ms", deadline } };
        CHECK(refusalOf(request("POST", "/v1/chat/complete", headers)) == Refused { 400, "bad-deadline" });
    }
    const auto hint = net::HttpHeaders { { "Camphorshunt-Prompt-Tokens", "4294967296" } };
    CHECK(refusalOf(request("POST", "/v1/chat/complete", hint)) == Refused { 400, "bad-hint" });
    const auto key = net::HttpHeaders { { "Idempotency-Key", "a b" } };
    CHECK(refusalOf(request("POST", "/v1/chat/complete", key)) == Refused { 400, "bad-idempotency-key" });
}

TEST_CASE("A malformed trace context is not forwarded")
{
    auto given = request("POST", "/v1/chat/complete", { { "traceparent", "00-zz" } });
    const auto read = readCallerRequest(RequestId { 7 }, given);
    CHECK(std::get<CallerRequest>(read).body.traceparent.empty());
}

TEST_CASE("The body of a refusal contains outcome, reason and request id")
{
    CHECK(refusalBody(RequestId { 0x1f }, "not-run", "queue-full")
        == R"({"outcome":"not-run","reason":"queue-full","requestId":"000000000000001f"})");
}

TEST_CASE("An answer without a content type has no Content-Type header")
{
    CHECK(net::headerValue(answerHeaders(RequestId { 1 }, "done", "text/plain"), "Content-Type")
        == "text/plain");
    for (const auto& header : answerHeaders(RequestId { 1 }, "done", {}))
        CHECK_FALSE(header.value.empty());
}
