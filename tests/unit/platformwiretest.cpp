#include "platform/callerwire.h"
#include "platform/configuration.h"
#include "platform/directoryentry.h"
#include "platform/enginewire.h"

#include <boost/beast/http/message.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::platform;
using namespace std::chrono_literals;

namespace {

auto callerHeader() -> RequestHeader
{
    auto header = RequestHeader {};
    header.method(boost::beast::http::verb::post);
    header.target("/lohu930/2f?a=b");
    header.set("Host", "ficu95.example");
    header.set("X-Attempt-Id", "9c41d07be2a35f68");
    header.set("X-Model", "m");
    header.set("X-Token-Count", "1460,80");
    header.set("X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    header.set("X-Deadline-Ms", "15000");
    header.set("Authorization", "bearer asnm");
    header.set("X-Length-Hint", "40");
    return header;
}

auto countOf(std::string_view text, std::string_view part) -> int
{
    auto count = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_CASE("The headers of a caller's request are decoded")
{
    const auto header = callerHeader();
    const auto request = readCallerRequest(header);
    CHECK(request.attempt == "9c41d07be2a35f68");
    CHECK(request.host == "ficu95.example");
    CHECK(request.target == "/lohu930/2f?a=b");
    CHECK(request.timeout == 15000ms);
    CHECK(request.apiKey == "asnm");
    REQUIRE(request.prompt);
    CHECK(request.prompt->tokens == 1460);
    CHECK(request.prompt->outputLimit == 80);
    CHECK(request.prompt->outputHint == 40);
    REQUIRE(request.prompt->parts.size() == 3);
    CHECK(request.prompt->parts[0].id == 0x5c1e07a2);
    CHECK(request.prompt->parts[1].tokens == 410);
}

TEST_CASE("Malformed headers are treated as missing")
{
    auto header = RequestHeader {};
    header.set("X-Deadline-Ms", "soon");
    header.set("X-Token-Count", "many,80");
    header.set("Authorization", "Basic abc");
    const auto request = readCallerRequest(header);
    CHECK(request.attempt.empty());
    CHECK(!request.timeout);
    CHECK(!request.prompt);
    CHECK(request.apiKey.empty());
    header.set("X-Deadline-Ms", "-5");
    CHECK(readCallerRequest(header).timeout == 0ms);
}

TEST_CASE("An engine gets the caller's headers, except connection headers, the key and headers that only the "
          "fleet sets")
{
    auto header = callerHeader();
    header.set("Connection", "keep-alive, X-Private, X-Attempt-Id");
    header.set("X-Private", "1");
    header.set("X-Public", "2");
    header.set("Transfer-Encoding", "chunked");
    for (const auto* const forged :
        { "X-Tenant", "x-hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "KV-FETCH", "X-Expect-Instance" })
        header.set(forged, "forged");
    auto request = EngineRequest {};
    request.timeLeft = 900ms;
    request.upstream = "i-1";
    request.organisation = "hule930";
    request.bodyBytes = 7;
    const auto text = writeEngineHead(header, request);
    CHECK(text.starts_with("POST /lohu930/2f?a=b HTTP/1.1\r\n"));
    CHECK(text.ends_with("\r\n\r\n"));
    CHECK(countOf(text, "forged") == 0);
    CHECK(countOf(text, "asnm") == 0);
    CHECK(countOf(text, "X-Private") == 0);
    CHECK(countOf(text, "Transfer-Encoding") == 0);
    CHECK(countOf(text, "X-Public: 2\r\n") == 1);
    CHECK(countOf(text, "X-Attempt-Id: 9c41d07be2a35f68\r\n") == 1);
    CHECK(countOf(text, "X-Deadline-Ms: 900\r\n") == 1);
    CHECK(countOf(text, "X-Deadline-Ms") == 1);
    CHECK(countOf(text, "X-Expect-Instance: i-1\r\n") == 1);
    CHECK(countOf(text, "X-Tenant: hule930\r\n") == 1);
    CHECK(countOf(text, "Content-Length: 7\r\n") == 1);
    CHECK(countOf(text, "Last-Event-Id") == 0);
}

TEST_CASE("The last event of a resumed stream replaces the one that the caller named")
{
    auto header = callerHeader();
    header.set("Last-Event-Id", "2");
    auto request = EngineRequest {};
    CHECK(countOf(writeEngineHead(header, request), "Last-Event-Id: 2\r\n") == 1);
    request.resumeAfter = "9";
    const auto text = writeEngineHead(header, request);
    CHECK(countOf(text, "Last-Event-Id: 9\r\n") == 1);
    CHECK(countOf(text, "Last-Event-Id") == 1);
}

TEST_CASE("The head of an engine's answer tells if it is signed and if the request was run")
{
    auto header = ResponseHeader {};
    header.result(503);
    header.set("X-Not-Executed", "1");
    header.set("Keep-Alive", "timeout=12, max=9");
    auto answer = readEngineAnswer(header);
    CHECK(answer.status == 503);
    CHECK(answer.notRun);
    CHECK(!answer.hasSignature);
    CHECK(answer.idleTimeout == 12s);

    auto other = ResponseHeader {};
    other.result(421);
    CHECK(readEngineAnswer(other).misdirected);
    CHECK(readEngineAnswer(other).notRun);

    auto full = ResponseHeader {};
    full.result(503);
    full.set("X-Response-Signature", "s");
    full.set("Content-Encoding", "gzip");
    CHECK(!readEngineAnswer(full).notRun);
    CHECK(readEngineAnswer(full).hasSignature);
    CHECK(readEngineAnswer(full).encoded);
}

TEST_CASE("A relayed head keeps status and headers, and has its own framing of the body")
{
    auto header = ResponseHeader {};
    header.result(200);
    header.reason("OK");
    header.set("X-Response-Signature", "s.1");
    header.set("Connection", "close");
    header.set("Content-Length", "5");
    const auto chunked = writeRelayedHead(header, { std::nullopt, false });
    CHECK(countOf(chunked, "X-Response-Signature: s.1\r\n") == 1);
    CHECK(countOf(chunked, "Transfer-Encoding: chunked\r\n") == 1);
    CHECK(countOf(chunked, "Content-Length") == 0);
    CHECK(countOf(chunked, "Connection") == 0);
    const auto last = writeRelayedHead(header, { 5, true });
    CHECK(countOf(last, "Content-Length: 5\r\n") == 1);
    CHECK(countOf(last, "Connection: close\r\n") == 1);
}

TEST_CASE("An answer of the router itself has no signature and says when to retry")
{
    const auto text = writeRouterAnswer({ 503, "id1", "busy", 1250ms, false });
    CHECK(text.starts_with("HTTP/1.1 503 Service Unavailable\r\n"));
    CHECK(countOf(text, "Retry-After: 1.25\r\n") == 1);
    CHECK(countOf(text, "X-Attempt-Id: id1\r\n") == 1);
    CHECK(countOf(text, "X-Response-Signature") == 0);
    CHECK(text.ends_with("{\"error\":\"busy\"}"));
}

TEST_CASE("A configuration with traffic splits, keys, engines and limits is decoded")
{
    const auto decoded = decodeConfiguration(R"({"version":7,"routes":[
        {"name":"r1","host":"h","path_prefix":"/a/","kind":"stream","timeout_ms":15000,"latency_goal_ms":800,
         "priority":1,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"attempts":1,
         "public":false,"sticky":true,"resumable":true,"gap_aim_ms":200,"unknown":1},
        {"name":"r2","host":"h","path_prefix":"/b/","kind":"something new","timeout_ms":800,"service":"s2"}],
        "services":[{"name":"s1","max_connections":290,"engine":{"slots":48,"kv_capacity":676342,
          "kv_token_bytes":163840,"link_mbps":740000.0}},{"name":"s2","max_connections":96}],
        "limits":{"max_header_bytes":100,"tokens_per_s":510000},
        "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":0}]})");
    REQUIRE(decoded);
    const auto& configuration = decoded.value();
    CHECK(configuration.version == 7);
    REQUIRE(configuration.routes.size() == 2);
    CHECK(configuration.routes[0].targets.size() == 2);
    CHECK(configuration.routes[0].repeatable());
    CHECK(configuration.routes[0].goal == 800ms);
    CHECK(configuration.routes[1].kind == RequestKind::NonIdempotent);
    CHECK(configuration.routes[1].attempts == 1);
    REQUIRE(configuration.services[0].engine);
    CHECK(configuration.services[0].engine->slots == 48);
    CHECK(configuration.services[0].engine->copiedTokensPerMs == Approx(564.6).epsilon(0.01));
    CHECK(!configuration.services[1].engine);
    CHECK(configuration.limits.headerBytes == 100);
    CHECK(configuration.tokensPerSecond == Approx(510000));
    CHECK(configuration.organisations[0].keys.size() == 2);
    CHECK(configuration.organisations[0].priority == 0U);
}

TEST_CASE("An invalid configuration is refused with the name of the faulty field")
{
    const auto field = [](std::string_view json) { return decodeConfiguration(json).error().field; };
    CHECK(field("nonsense") == "configuration");
    CHECK(field("[]") == "configuration");
    CHECK(field("{}") == "version");
    CHECK(field(R"({"version":1})") == "routes");
    CHECK(field(R"({"version":1,"routes":[{"name":"r"}]})") == "routes.host");
    CHECK(field(R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"stream",
        "timeout_ms":-1,"service":"s"}]})")
        == "routes.timeout_ms");
    CHECK(
        field(R"({"version":1,"routes":[],"tenants":[{"name":"t","api_keys":[3]}]})") == "tenants.api_keys");
}

TEST_CASE("A directory entry is decoded, and an invalid one is refused")
{
    const auto good = decodeDirectoryEntry("i-1",
        R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":48,"state":"draining",
            "cold_remaining_ms":0,"sequence":4,"born":1790505876059})");
    REQUIRE(good);
    CHECK(good.value().draining);
    CHECK(good.value().startedAt == 1790505876059ms);
    CHECK(good.value().endpoint == Endpoint { "10.0.0.9", 8080 });
    const auto bad = GENERATE(as<std::string> {}, "", "{", "[]", "{}", R"({"service":3})",
        R"({"service":"s","address":"x","zone":"z","slots":4,"state":"ready"})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":"4","state":"ready"})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"odd"})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready","born":-2})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready","born":9223372036854775808})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready","born":4102444800001})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":4294967300,"state":"ready"})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":1e300,"state":"ready"})",
        R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":99999999999999999999,"state":"ready"})",
        R"({"service":"s","address":"10.0.0.9:70000","zone":"z","slots":4,"state":"ready"})",
        R"({"service":"s","address":"10.0.0.9:0","zone":"z","slots":4,"state":"ready"})",
        R"({"service":)" + std::string(100000, '[') + std::string(100000, ']') + "}");
    CHECK(!decodeDirectoryEntry("i-1", bad));
}
