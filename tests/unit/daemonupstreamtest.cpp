#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "camphorshunt/registry.h"
#include "camphorshunt/upstreamkind.h"

#include "loadreport.h"
#include "platformjson.h"

using namespace camphorshunt;

namespace {

auto kindNamed(std::string_view name) -> std::unique_ptr<UpstreamKind>
{
    const auto* const factory = Registry<UpstreamKindFactory>::instance().find(name);
    REQUIRE(factory != nullptr);
    return (*factory)();
}

const auto stream = std::string("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nevent: done\n"
                                "data: {\"promptTokens\":5,\"outputTokens\":2}\n\n");

} // namespace

TEST_CASE("Upstream kinds are registered under their names")
{
    const auto names = Registry<UpstreamKindFactory>::instance().names();
    CHECK(std::ranges::count(names, "model-engine") == 1);
    CHECK(std::ranges::count(names, "plain-service") == 1);
    CHECK(Registry<UpstreamKindFactory>::instance().find("none") == nullptr);
}

TEST_CASE("Only complete events are forwarded, however an event stream is split into reads")
{
    const auto engine = kindNamed("model-engine");
    CHECK(rc::check("each read forwards only complete events", [&] {
        auto reader = engine->reader(0);
        auto passed = std::string {};
        for (auto begin = std::size_t {}; begin < stream.size();) {
            const auto length = *rc::gen::inRange<std::size_t>(1, 20);
            passed += reader->consume(std::string_view(stream).substr(begin, length));
            begin += length;
            RC_ASSERT(stream.starts_with(passed));
            RC_ASSERT(passed.empty() || passed.ends_with("\n\n") || passed.ends_with("\r\n\r\n"));
            RC_ASSERT(!reader->isMalformed());
        }
        RC_ASSERT(passed == stream);
        RC_ASSERT(reader->isComplete());
        RC_ASSERT(reader->eventsPassed() == 2U);
        RC_ASSERT(reader->promptTokens() == 5U);
        RC_ASSERT(reader->outputTokens() == 2U);
    }));
}

TEST_CASE("A stream that skips or repeats an event is malformed and nothing more is forwarded")
{
    const auto engine = kindNamed("model-engine");
    auto skipping = engine->reader(0);
    CHECK(skipping->consume("id: 2\ndata: b\n\n").empty());
    CHECK(skipping->isMalformed());

    auto resumed = engine->reader(4);
    CHECK(resumed->consume("id: 5\n\n") == "id: 5\n\n");
    CHECK(resumed->eventsPassed() == 5);
    CHECK(resumed->consume("id: 5\n\n").empty());
    CHECK(resumed->isMalformed());
}

TEST_CASE("Upstream kinds build paths and headers as the interface specifies")
{
    const auto resumed = UpstreamAttempt { "complete", "k1", "aa-1", 9, 3 };
    const auto engine = kindNamed("model-engine");
    CHECK(engine->target("complete") == "/generate/complete");
    CHECK(engine->headers(resumed)
        == UpstreamKind::Headers { { "Accept", "text/event-stream" }, { "Fencing-Token", "3" },
            { "Camphorshunt-Resume-Of", "aa-1" }, { "Last-Event-ID", "9" } });
    const auto plain = kindNamed("plain-service");
    CHECK(plain->target("book") == "/book");
    CHECK(
        plain->headers({ "book", "k1", {}, 0, 0 }) == UpstreamKind::Headers { { "Idempotency-Key", "k1" } });
}

TEST_CASE("A load report is parsed, and a malformed one is rejected")
{
    const auto report
        = parseLoadReport(UpstreamId { 3 }, R"({"running":1,"waiting":2,"slots":4,"leaving":true})");
    REQUIRE(report);
    CHECK(report->running == 1);
    CHECK(report->slots == 4);
    CHECK(report->leaving);
    for (const auto* text : { "", "[]", R"({"running":-1,"waiting":2,"slots":4})", R"({"running":1})" })
        CHECK_FALSE(parseLoadReport(UpstreamId { 3 }, text));
}

TEST_CASE("Answers of the log are parsed, and malformed ones are rejected")
{
    CHECK(parseAppendAnswer(R"({"offset":12})") == Offset { 12 });
    CHECK_FALSE(parseAppendAnswer(R"({"offset":"12"})"));
    const auto read = parseLogRead(
        "documents", R"({"first":2,"end":5,"records":[{"offset":3,"body":"x"},{"offset":4,"body":"y"}]})");
    REQUIRE(read);
    CHECK(read->first == Offset { 2 });
    CHECK(read->records.at(1).body == "y");
    CHECK_FALSE(parseLogRead("documents", R"({"first":2,"end":5})"));
    CHECK_FALSE(parseLogRead(
        "documents", R"({"first":2,"end":5,"records":[{"offset":4,"body":"x"},{"offset":3,"body":"y"}]})"));
}

TEST_CASE("The list of VMs is parsed, and a malformed entry invalidates the whole list")
{
    const auto good = std::string(
        R"({"name":"r1","role":"router","address":"127.0.0.1:7001","failureDomain":"a","state":"leaving"})");
    const auto listed = parseVmList("{\"vms\":[" + good + "]}");
    REQUIRE(listed);
    CHECK(listed->vms.at(0).leaving);
    CHECK(listed->vms.at(0).endpoint.port == 7001);
    CHECK_FALSE(parseVmList("{\"vms\":[" + good + R"(,{"name":"r2","role":"cook"}]})"));
}
