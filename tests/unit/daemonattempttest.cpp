#include "attempt.h"

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "camphorshunt/registry.h"

#include "httpserver.h"

using namespace camphorshunt;

namespace {

/** Runs an upstream on loopback and attempts at it on one thread. */
class AttemptBench {
public:
    using Answer = std::function<void(net::HttpExchange&, const std::string& echo)>;

    explicit AttemptBench(Answer answer)
        : server_(net::HttpServer::listen(context_, { "127.0.0.1", 0 }, {},
            [answer = std::move(answer)](const net::HttpRequest& request, const auto& exchange) {
                answer(*exchange, std::string(request.header("Camphorshunt-Attempt-Id")));
            }).value())
        , client_(net::HttpClient::create(context_, 4, std::chrono::seconds(10)))
    {
    }

    auto run(const std::string& kind, std::uint32_t resumeAfter = 0, bool headPassed = false) -> AttemptEnded
    {
        auto order
            = SendAttempt { RequestId { 1 }, 2, UpstreamId { 3 }, server_->endpoint(), kind, "complete" };
        order.resumeAfter = resumeAfter;
        order.connectTimeout = order.firstByteTimeout = order.gapTimeout = 30s;
        auto ended = std::optional<AttemptEnded> {};
        auto handlers = Attempt::Handlers {};
        handlers.onHead = [this](const AnswerHead&) { ++heads; };
        handlers.onChunk = [this](const AnswerChunk& chunk) { passed += chunk.bytes; };
        handlers.onComplete = [this](CompleteAnswer answer) { whole = std::move(answer); };
        handlers.onProgress = [](const auto&) {};
        handlers.onEnd = [&ended](const AttemptEnded& event) { ended = event; };
        const auto* const factory = Registry<UpstreamKindFactory>::instance().find(kind);
        auto attempt
            = std::make_shared<Attempt>(order, "aa-2", (*factory)(), headPassed, std::move(handlers));
        attempt->start(*client_, { "POST", "/", { { "Camphorshunt-Attempt-Id", "aa-2" } }, "body" });
        while (!ended && context_.run_one() != 0) { }
        REQUIRE(ended);
        return *ended;
    }

    int heads = 0;
    std::string passed;
    std::optional<CompleteAnswer> whole;

private:
    boost::asio::io_context context_;
    std::unique_ptr<net::HttpServer> server_;
    std::unique_ptr<net::HttpClient> client_;
};

auto echoed(const std::string& id) -> net::HttpHeaders
{
    return { { "Camphorshunt-Attempt-Id", id }, { "Content-Type", "text/event-stream" } };
}

const auto doneEvent = std::string("event: done\ndata: {\"promptTokens\":3,\"outputTokens\":2}\n\n");

} // namespace

TEST_CASE("A stream that ends with its done event is complete")
{
    auto bench = AttemptBench([](auto& exchange, const auto& echo) {
        exchange.beginStream(200, echoed(echo));
        exchange.write("id: 1\ndata: a\n\nid: 2\ndata: b\n\n" + doneEvent);
        exchange.finish();
    });
    const auto ended = bench.run("model-engine");
    CHECK(ended.result == AttemptResult::Complete);
    CHECK(ended.eventsPassed == 2);
    CHECK(ended.promptTokens == 3);
    CHECK(ended.headPassed);
    CHECK(bench.heads == 1);
    CHECK(bench.passed.ends_with(doneEvent));
}

TEST_CASE("A stream that ends without its done event is broken, and its incomplete event is not passed on")
{
    auto bench = AttemptBench([](auto& exchange, const auto& echo) {
        exchange.beginStream(200, echoed(echo));
        exchange.write("id: 1\ndata: a\n\nid: 2\nda");
        exchange.finish();
    });
    const auto ended = bench.run("model-engine");
    CHECK(ended.result == AttemptResult::Broken);
    CHECK(ended.eventsPassed == 1);
    CHECK(bench.passed == "id: 1\ndata: a\n\n");
}

TEST_CASE("An answer with the id of another attempt or none is rejected as mismatched and not passed on")
{
    for (const auto* echo : { "aa-1", "" }) {
        auto bench = AttemptBench([echo](auto& exchange, const auto&) {
            exchange.beginStream(200, echoed(echo));
            exchange.write("id: 1\ndata: a\n\n" + doneEvent);
            exchange.finish();
        });
        const auto ended = bench.run("model-engine");
        CHECK(ended.result == AttemptResult::Crossed);
        CHECK_FALSE(ended.headPassed);
        CHECK(bench.heads == 0);
        CHECK(bench.passed.empty());
    }
}

TEST_CASE("A resumed stream passes on no second head and continues with the next event")
{
    auto bench = AttemptBench([](auto& exchange, const auto& echo) {
        exchange.beginStream(200, echoed(echo));
        exchange.write("id: 5\ndata: e\n\n" + doneEvent);
        exchange.finish();
    });
    const auto ended = bench.run("model-engine", 4, true);
    CHECK(ended.result == AttemptResult::Complete);
    CHECK(ended.eventsPassed == 5);
    CHECK(bench.heads == 0);
    CHECK(bench.passed.starts_with("id: 5\n"));
}

TEST_CASE("Resuming a stream that the engine no longer knows is broken and passes on nothing")
{
    auto bench
        = AttemptBench([](auto& exchange, const auto& echo) { exchange.respond(404, echoed(echo), "no"); });
    CHECK(bench.run("model-engine", 4, true).result == AttemptResult::Broken);
    CHECK_FALSE(bench.whole);
}

TEST_CASE(
    "A plain answer is passed on in one piece with its outcome, and a refusal of a busy upstream is not")
{
    auto status = std::uint16_t { 200 };
    auto bench = AttemptBench(
        [&status](auto& exchange, const auto& echo) { exchange.respond(status, echoed(echo), "text"); });
    CHECK(bench.run("plain-service").result == AttemptResult::Complete);
    REQUIRE(bench.whole);
    CHECK(bench.whole->outcome == RequestOutcome::Done);
    CHECK(bench.whole->body == "text");

    status = 422;
    CHECK(bench.run("plain-service").result == AttemptResult::Failed);
    CHECK(bench.whole->outcome == RequestOutcome::Failed);
    CHECK(bench.whole->status == 422);

    bench.whole.reset();
    status = 503;
    CHECK(bench.run("plain-service").result == AttemptResult::Refused);
    CHECK_FALSE(bench.whole);
}

// An error that broke off was passed on as far as it had come, and looked whole.
TEST_CASE("An answer of an upstream that fails is passed on only if it is complete")
{
    auto breaksOff = true;
    auto bench = AttemptBench([&breaksOff](auto& exchange, const auto& echo) {
        exchange.beginStream(500, echoed(echo));
        exchange.write("a part of");
        if (breaksOff)
            exchange.abort();
        else
            exchange.finish();
    });
    const auto* const kind = GENERATE("plain-service", "model-engine");
    CHECK(bench.run(kind).result == AttemptResult::Broken);
    CHECK_FALSE(bench.whole);
    breaksOff = false;
    CHECK(bench.run(kind).result == AttemptResult::Failed);
    REQUIRE(bench.whole);
    CHECK(bench.whole->body == "a part of");
}
