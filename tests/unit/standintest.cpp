#include "enginestandin.h"
#include "httptestsupport.h"
#include "jsonfields.h"
#include "logstandin.h"
#include "platformengine.h"
#include "servicestandin.h"
#include "vmsstandin.h"

using namespace camphorshunt;
using namespace camphorshunt::net;
using namespace camphorshunt::net::test;
using namespace camphorshunt::standins;

namespace {

struct Call {
    RecordedCall seen;
    std::shared_ptr<HttpCall> handle;
};

/** A stand-in in the test's process, and a client for it. */
template <typename Role> struct StandInFixture {
    explicit StandInFixture(const StandInOptions& options)
        : role(Role::start(context, options).value())
    {
    }
    explicit StandInFixture()
        : StandInFixture(StandInOptions {})
    {
    }

    auto startCall(const std::string& target, const std::string& body = {}, const HttpHeaders& headers = {})
        -> std::shared_ptr<Call>
    {
        auto spec = callTo(role->endpoint(), target, body);
        spec.freshConnection = true;
        spec.request.headers = headers;
        auto call = std::make_shared<Call>();
        call->handle = client->start(spec, call->seen.handlers());
        return call;
    }
    auto waitForEnd(const std::shared_ptr<Call>& call) -> HttpCallEnd
    {
        REQUIRE(runUntil(context, [&] { return call->seen.ended(); }));
        return call->seen.ends.front();
    }
    auto call(const std::string& target, const std::string& body = {}, const HttpHeaders& headers = {})
        -> RecordedCall
    {
        const auto started = startCall(target, body, headers);
        waitForEnd(started);
        return started->seen;
    }
    auto setFault(const std::string& json) -> void
    {
        REQUIRE(call("/admin/faults", json).head.status == 200);
    }
    auto totalRuns() -> std::int64_t
    {
        return field<std::int64_t>(parseObject(call("/admin/counts").body).value(), "total", -1);
    }

    boost::asio::io_context context;
    std::unique_ptr<HttpClient> client = HttpClient::create(context, 0, 1s);
    std::unique_ptr<Role> role;
};

auto generation(const std::string& attempt, int tokens) -> HttpHeaders
{
    return { { "Camphorshunt-Attempt-Id", attempt }, { "Camphorshunt-Request-Tag", "x" },
        { "Camphorshunt-Output-Tokens", std::to_string(tokens) }, { "Camphorshunt-Prompt-Tokens", "0" } };
}

auto resumption(const std::string& attempt, const std::string& of, const std::string& last) -> HttpHeaders
{
    return { { "Camphorshunt-Attempt-Id", attempt }, { "Camphorshunt-Resume-Of", of },
        { "Last-Event-ID", last } };
}

const auto twoTokens = std::string("id: 1\ndata: rx-t1\n\nid: 2\ndata: rx-t2\n\n");
const auto twoDone = std::string("event: done\ndata: {\"promptTokens\":0,\"outputTokens\":2}\n\n");

} // namespace

TEST_CASE("The engine streams its tokens and echoes the attempt id, or a wrong id under the crossed fault")
{
    auto fixture = StandInFixture<EngineStandIn> {};
    const auto complete = fixture.call("/generate/chat", "{}", generation("a1", 2));
    CHECK(complete.ends.front() == HttpCallEnd::Complete);
    CHECK(complete.body == twoTokens + twoDone);
    CHECK(complete.head.header("Camphorshunt-Attempt-Id") == "a1");
    fixture.setFault(R"({"mode":"crossed","count":1})");
    CHECK(fixture.call("/generate/chat", "{}", generation("a2", 1)).head.header(attemptHeader) != "a2");
    CHECK(fixture.call("/generate/chat", "{}", generation("a3", 1)).head.header(attemptHeader) == "a3");
    CHECK(fixture.call("/generate/chat", R"({"outputTokens":1})", {}).body.find("t2") == std::string::npos);
}

TEST_CASE("A truncated engine stream can be resumed after its last event, but not once it is cancelled")
{
    auto fixture = StandInFixture<EngineStandIn> {};
    fixture.setFault(R"({"mode":"cut","afterEvents":1,"count":1})");
    const auto cut = fixture.call("/generate/chat", "{}", generation("a1", 2));
    CHECK(cut.ends.front() == HttpCallEnd::Broken);
    CHECK(cut.body == "id: 1\ndata: rx-t1\n\n");
    const auto resumed = fixture.call("/generate/chat", "{}", resumption("a2", "a1", "1"));
    CHECK(resumed.ends.front() == HttpCallEnd::Complete);
    CHECK(resumed.body == "id: 2\ndata: rx-t2\n\n" + twoDone);

    const auto endless = fixture.startCall("/generate/chat", "{}", generation("a3", 1000000));
    REQUIRE(runUntil(fixture.context, [&] { return !endless->seen.body.empty(); }));
    CHECK(fixture.call("/cancel", R"({"attempt":"a3"})").head.status == 200);
    CHECK(fixture.waitForEnd(endless) == HttpCallEnd::Broken);
    CHECK(fixture.call("/generate/chat", "{}", resumption("a4", "a3", "1")).head.status == 404);
    CHECK(fixture.call("/load").body == R"({"running":0,"waiting":0,"started":2,"slots":4,"leaving":false})");
}

TEST_CASE("An engine stream that is not resumed within the resume window ends and frees its slot")
{
    auto options = StandInOptions {};
    options.resumeWindow = 20ms;
    options.slots = 1;
    auto fixture = StandInFixture<EngineStandIn>(options);
    const auto cutByEngine = GENERATE(false, true);
    if (cutByEngine)
        fixture.setFault(R"({"mode":"cut","afterEvents":1,"count":1})");
    const auto lost = fixture.startCall("/generate/chat", "{}", generation("a1", 1000000));
    REQUIRE(runUntil(fixture.context, [&] { return !lost->seen.body.empty(); }));
    lost->handle->cancel();
    CHECK(fixture.call("/generate/chat", "{}", generation("a2", 2)).body == twoTokens + twoDone);
}

TEST_CASE("Requests beyond the engine's slots wait in order of arrival and are counted in its load report")
{
    auto options = StandInOptions {};
    options.slots = 1;
    auto fixture = StandInFixture<EngineStandIn>(options);
    const auto first = fixture.startCall("/generate/chat", "{}", generation("a1", 1000000));
    REQUIRE(runUntil(fixture.context, [&] { return !first->seen.body.empty(); }));
    const auto second = fixture.startCall("/generate/chat", "{}", generation("a2", 2));
    REQUIRE(runUntil(fixture.context, [&] { return second->seen.head.status == 200; }));
    fixture.setFault(R"({"leaving":true})");
    CHECK(fixture.call("/load").body == R"({"running":1,"waiting":1,"started":1,"slots":1,"leaving":true})");
    CHECK(second->seen.body.empty());
    fixture.call("/cancel", R"({"attempt":"a1"})");
    CHECK(fixture.waitForEnd(second) == HttpCallEnd::Complete);
}

TEST_CASE("The engine's load report lags by the configured time")
{
    auto options = StandInOptions {};
    options.loadLag = 1h;
    auto fixture = StandInFixture<EngineStandIn>(options);
    const auto call = fixture.startCall("/generate/chat", "{}", generation("a1", 1000000));
    REQUIRE(runUntil(fixture.context, [&] { return !call->seen.body.empty(); }));
    CHECK(fixture.call("/load").body.find(R"("running":0)") != std::string::npos);
}

TEST_CASE("The engine refuses an older fencing token only if the check is enabled")
{
    auto options = StandInOptions {};
    options.checkFencing = GENERATE(false, true);
    auto fixture = StandInFixture<EngineStandIn>(options);
    CHECK(fixture.call("/generate/a", "{}", { { "Fencing-Token", "7" } }).head.status == 200);
    CHECK(fixture.call("/generate/a", "{}", { { "Fencing-Token", "6" } }).head.status
        == (options.checkFencing ? 409 : 200));
    CHECK(fixture.call("/generate/a", "{}", { { "Fencing-Token", "7" } }).head.status == 200);
}

TEST_CASE("A stand-in refuses, delays or never answers a request according to the active fault")
{
    auto fixture = StandInFixture<ServiceStandIn> {};
    fixture.setFault(R"({"mode":"refuse","count":1})");
    CHECK(fixture.call("/pay", "{}").head.status == 503);
    fixture.setFault(R"({"mode":"slow","delayMs":10,"count":1})");
    CHECK(fixture.call("/pay", "{}").head.status == 200);
    fixture.setFault(R"({"mode":"silent","count":1})");
    const auto silent = fixture.startCall("/pay", "{}");
    CHECK(fixture.call("/pay", "{}").head.status == 200);
    CHECK(fixture.totalRuns() == 2);
    CHECK_FALSE(silent->seen.ended());
    silent->handle->cancel();
    CHECK(fixture.call("/admin/faults", R"({"mode":"unheard-of"})").head.status == 400);
    CHECK(fixture.call("/admin/faults", "[").head.status == 400);
}

TEST_CASE("The service counts each execution of a key, even if its answer is lost or truncated")
{
    auto fixture = StandInFixture<ServiceStandIn> {};
    const auto key = HttpHeaders { { "Idempotency-Key", "k1" }, { "Camphorshunt-Attempt-Id", "a1" } };
    CHECK(fixture.call("/pay", "{}", key).head.header(attemptHeader) == "a1");
    fixture.setFault(R"({"mode":"lost-ack","count":1})");
    CHECK(fixture.call("/pay", "{}", key).ends.front() == HttpCallEnd::Broken);
    fixture.setFault(R"({"mode":"cut","count":1})");
    const auto cut = fixture.call("/pay", "{}", key);
    CHECK(cut.ends.front() == HttpCallEnd::Broken);
    CHECK(cut.body == "{");
    CHECK(fixture.call("/pay").head.status == 404);
    CHECK(fixture.call("/admin/counts").body == R"({"total":3,"keys":{"k1":3}})");
}

TEST_CASE("A call waiting for a slot of the service is never executed if its caller disconnects")
{
    auto options = StandInOptions {};
    options.slots = 1;
    options.callTime = 100ms;
    auto fixture = StandInFixture<ServiceStandIn>(options);
    const auto first = fixture.startCall("/pay", "{}");
    REQUIRE(runUntil(fixture.context, [&] { return fixture.totalRuns() == 1; }));
    const auto waiting = fixture.startCall("/pay", "{}");
    REQUIRE(runUntil(fixture.context,
        [&] { return fixture.call("/load").body.find(R"("waiting":1)") != std::string::npos; }));
    waiting->handle->cancel();
    CHECK(fixture.waitForEnd(first) == HttpCallEnd::Complete);
    CHECK(fixture.call("/pay", "{}").ends.front() == HttpCallEnd::Complete);
    CHECK(fixture.totalRuns() == 2);
}

TEST_CASE("The log stores records by offset, trims them, and answers a waiting reader")
{
    auto options = StandInOptions {};
    options.retentionRecords = 2;
    auto fixture = StandInFixture<LogStandIn>(options);
    const auto reader = fixture.startCall("/streams/s?from=0&max=9&waitMs=60000");
    CHECK(fixture.call("/streams/s", "zero").body == R"({"offset":0})");
    CHECK(fixture.waitForEnd(reader) == HttpCallEnd::Complete);
    CHECK(reader->seen.body == R"({"first":0,"end":1,"records":[{"offset":0,"body":"zero"}]})");
    fixture.call("/streams/s", "one");
    fixture.call("/streams/s", "two");
    CHECK(fixture.call("/streams/s?from=0&max=1").body
        == R"({"first":1,"end":3,"records":[{"offset":1,"body":"one"}]})");
    CHECK(fixture.call("/admin/trim", R"({"stream":"s","first":3})").body == R"({"first":3})");
    CHECK(fixture.call("/streams/s?from=0&max=1&waitMs=1").body == R"({"first":3,"end":3,"records":[]})");
    CHECK(fixture.call("/streams/s", "three").body == R"({"offset":3})");
}

TEST_CASE("The log can lose an acknowledgement, append late, and be unavailable")
{
    auto fixture = StandInFixture<LogStandIn> {};
    fixture.setFault(R"({"mode":"lost-ack","count":1})");
    CHECK(fixture.call("/streams/s").head.status == 200);
    CHECK(fixture.call("/streams/s", "lost").ends.front() == HttpCallEnd::Broken);
    fixture.setFault(R"({"mode":"late-ack","delayMs":20,"count":1})");
    CHECK(fixture.call("/streams/s", "late").ends.front() == HttpCallEnd::Broken);
    CHECK(fixture.call("/streams/s?from=1&waitMs=30000").body.find("late") != std::string::npos);
    fixture.setFault(R"({"mode":"outage"})");
    CHECK(fixture.call("/streams/s").head.status == 503);
    CHECK(fixture.call("/streams/s", "more").head.status == 503);
    fixture.setFault(R"({"mode":"none"})");
    CHECK(fixture.call("/streams/s", "next").body == R"({"offset":2})");
}

TEST_CASE("The log refuses appends beyond its rate limit")
{
    auto options = StandInOptions {};
    options.appendsPerSecond = 1;
    auto fixture = StandInFixture<LogStandIn>(options);
    auto refused = false;
    REQUIRE(runUntil(fixture.context,
        [&] { return refused = refused || fixture.call("/streams/s", "r").head.status == 429; }));
    CHECK(runUntil(fixture.context, [&] { return fixture.call("/streams/s", "r").head.status == 200; }));
}

TEST_CASE("A change of the VM list becomes visible after the configured lag")
{
    auto options = StandInOptions {};
    options.listLag = GENERATE(Milliseconds(0), Milliseconds(20));
    auto fixture = StandInFixture<VmsStandIn>(options);
    const auto list = std::string(R"({"vms":[{"name":"r1"}]})");
    CHECK(fixture.call("/admin/vms", "{}").head.status == 400);
    CHECK(fixture.call("/admin/vms", list).head.status == 200);
    CHECK(runUntil(fixture.context, [&] { return fixture.call("/vms").body == list; }));
}

TEST_CASE("A platform engine that leaves says so in all its answers, and records when it gave them")
{
    auto fixture = StandInFixture<PlatformEngine> {};
    const auto headers = HttpHeaders { { "X-Attempt-Id", "a1" } };
    CHECK(fixture.call("/call", "{}", headers).head.header("Server-Leaving").empty());
    const auto* const mode = GENERATE("none", "error", "refuse", "unproved", "rest");
    const auto extra = GENERATE(HttpHeaders {}, HttpHeaders { { "X-Token-Count", "5,2" } },
        HttpHeaders { { "X-Expect-Instance", "another" } });
    fixture.setFault(R"({"leaving":true,"mode":")" + std::string(mode) + R"("})");
    auto sent = headers;
    sent.insert(sent.end(), extra.begin(), extra.end());
    const auto answer = fixture.call("/call", "{}", sent);
    CHECK(answer.head.header("Server-Leaving") == "1");
    CHECK(fixture.call("/call", "{}").head.header("Server-Leaving") == "1");
    const auto arrivals = parseObject(fixture.call("/admin/arrivals").body).value().at("arrivals").as_array();
    REQUIRE(arrivals.size() == 3);
    CHECK(!arrivals[0].at("leaving").as_bool());
    CHECK(arrivals[1].at("leaving").as_bool());
    CHECK(arrivals[1].at("status").to_number<std::uint16_t>() == answer.head.status);
    CHECK(arrivals[1].at("answeredAt").as_int64() >= arrivals[1].at("at").as_int64());
}

TEST_CASE(
    "A platform engine that wants rest refuses requests with the given time, until the count is reached")
{
    auto fixture = StandInFixture<PlatformEngine> {};
    const auto headers = HttpHeaders { { "X-Attempt-Id", "a1" } };
    const auto* const time = GENERATE("1.5", "Sun, 06 Nov 1994 08:49:37 GMT", "");
    fixture.setFault(R"({"mode":"rest","count":1,"retryAfter":")" + std::string(time) + R"("})");
    const auto refused = fixture.call("/call", "{}", headers);
    CHECK(refused.head.status == 503);
    CHECK(refused.head.header("Retry-After") == time);
    CHECK(refused.head.header("X-Not-Executed") == "1");
    CHECK(fixture.call("/call", "{}", headers).head.status == 200);
    CHECK(parseObject(fixture.call("/admin/runs").body).value().at("runs").as_array().size() == 1);
}
