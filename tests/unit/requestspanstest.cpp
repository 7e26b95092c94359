#include "requestspans.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <vector>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

#include "spanfile.h"
#include "traceparent.h"

using namespace camphorshunt;

namespace {

constexpr auto request = RequestId { 7 };
constexpr auto service = ServiceId { 1 };

auto stepOf(RequestStep step, Time at) -> StepRecorded
{
    return { NoteStep { request, step, {}, service, UpstreamId { 9 }, {} }, at };
}

/** The spans of a request that was claimed, queued, sent twice and answered, in the order in which they
 * finish. */
auto spansOf(const std::string& traceparent) -> std::vector<boost::json::object>
{
    auto lines = std::vector<boost::json::object> {};
    auto spans = RequestSpans(
        [&](const std::string& line) { lines.push_back(boost::json::parse(line).as_object()); });
    spans.handle(RequestOpened { request, "booking", traceparent, Time(1s) });
    spans.handle(stepOf(RequestStep::ClaimAppended, Time(1s)));
    spans.handle(stepOf(RequestStep::ClaimWon, Time(2s)));
    spans.handle(stepOf(RequestStep::Queued, Time(2s)));
    spans.handle(stepOf(RequestStep::Granted, Time(5s)));
    spans.handle(stepOf(RequestStep::Sent, Time(5s)));
    spans.handle(AttemptRecorded { request, 1, AttemptResult::NotSent, Time(6s) });
    spans.handle(stepOf(RequestStep::Sent, Time(7s)));
    spans.handle(AttemptRecorded { request, 2, AttemptResult::Complete, Time(9s) });
    spans.handle(RequestClosed { request, "done", {}, Time(10s) });
    return lines;
}

} // namespace

TEST_CASE("A request produces a span for each hop in the caller's trace")
{
    const auto given = std::string("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    const auto spans = spansOf(given);
    REQUIRE(spans.size() == 5);
    const auto names = std::vector<std::string> { "claim", "queue", "upstream", "upstream", "caller" };
    const auto durations
        = std::vector<std::int64_t> { 1'000'000, 3'000'000, 1'000'000, 2'000'000, 9'000'000 };
    for (auto index = std::size_t {}; index < spans.size(); ++index) {
        CHECK(spans[index].at("name").as_string() == names[index]);
        CHECK(spans[index].at("duration_us").as_int64() == durations[index]);
        CHECK(spans[index].at("trace_id").as_string() == std::string(traceIdOf(given)));
        const auto parent
            = names[index] == "caller" ? std::string(parentIdOf(given)) : spanIdOf(request, callerSpan);
        CHECK(spans[index].at("parent_id").as_string() == parent);
    }
    CHECK(spans[2].at("result").as_string() == "NotSent");
    CHECK(spans[3].at("span_id").as_string() == spanIdOf(request, upstreamSpan, 2));
    CHECK(spans[4].at("outcome").as_string() == "done");
}

TEST_CASE("The caller span is the root of a trace that the daemon starts")
{
    const auto spans = spansOf(makeTraceparent(1, 2, request));
    CHECK_FALSE(spans.back().contains("parent_id"));
    CHECK(spans.back().at("trace_id").as_string() == "00000000000000010000000000000002");
}

TEST_CASE("Spans beyond the size limit of their file are dropped and counted")
{
    const auto path
        = std::filesystem::temp_directory_path() / ("spans-" + std::to_string(::getpid()) + ".jsonl");
    auto file = SpanFile::create(path.string(), 20).value();
    file->write("0123456789");
    file->write("0123456789");
    file->write("short");
    while (file->dropped() == 0)
        std::this_thread::yield();
    file.reset();
    auto stream = std::ifstream(path);
    const auto text = std::string(std::istreambuf_iterator<char>(stream), {});
    std::filesystem::remove(path);
    CHECK(text == "0123456789\nshort\n");
    CHECK(SpanFile::create("/nowhere/spans", 20).error().field == "trace");
}
