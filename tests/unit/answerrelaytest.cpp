#include "answerrelay.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;

namespace {

auto header() -> platform::ResponseHeader
{
    auto made = platform::ResponseHeader {};
    made.result(200);
    made.set("X-Response-Signature", "s");
    return made;
}

/** Body of a chunked answer, without its head. */
auto bodyOf(std::string text) -> std::string
{
    const auto end = text.find("\r\n\r\n");
    if (text.starts_with("HTTP/"))
        text.erase(0, end + 4);
    auto body = std::string {};
    while (!text.empty()) {
        const auto line = text.find("\r\n");
        const auto size = std::stoul(text.substr(0, line), nullptr, 16);
        body += text.substr(line + 2, size);
        text.erase(0, line + 2 + size + 2);
    }
    return body;
}

} // namespace

TEST_CASE("A plain answer is passed on once it is complete, with its length")
{
    auto relay = AnswerRelay(header(), AnswerRelay::Mode::Buffered, false, false);
    CHECK(relay.consume("ab").empty());
    CHECK(relay.consume("cd").empty());
    CHECK(!relay.hasBegun());
    const auto text = relay.finish();
    CHECK(text.find("Content-Length: 4\r\n") != std::string::npos);
    CHECK(text.ends_with("\r\n\r\nabcd"));
}

TEST_CASE("A stream is passed on as it arrives, and its last chunk is sent only when it is complete")
{
    auto relay = AnswerRelay(header(), AnswerRelay::Mode::Stream, false, false);
    auto text = relay.consume("id: 1\nda");
    CHECK(relay.hasBegun());
    text += relay.consume("ta: x\n\n");
    CHECK(bodyOf(text) == "id: 1\ndata: x\n\n");
    CHECK(relay.finish() == "0\r\n\r\n");
}

TEST_CASE("A resumable stream is passed on in complete events, at whatever byte an engine stops")
{
    const auto events = std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    for (auto cut = std::size_t { 0 }; cut <= events.size(); ++cut) {
        auto relay = AnswerRelay(header(), AnswerRelay::Mode::ResumableStream, false, false);
        auto text = std::string {};
        for (const auto letter : events.substr(0, cut))
            text += relay.consume(std::string_view(&letter, 1));
        relay.resume();
        const auto last = relay.lastEventId().empty() ? 0 : std::stoi(relay.lastEventId());
        text += relay.consume(events.substr(static_cast<std::size_t>(last) * events.size() / 3));
        text += relay.finish();
        CHECK(bodyOf(text) == events);
    }
}

TEST_CASE("A streamed answer with a Content-Length keeps it")
{
    auto made = header();
    made.set("Content-Length", "7");
    auto relay = AnswerRelay(made, AnswerRelay::Mode::Stream, false, true);
    auto text = relay.consume("id: 1\n\n");
    text += relay.finish();
    CHECK(text.find("Content-Length: 7\r\n") != std::string::npos);
    CHECK(text.find("Connection: close\r\n") != std::string::npos);
    CHECK(text.ends_with("\r\n\r\nid: 1\n\n"));
}

TEST_CASE("A stream that ends inside an event is not complete, however it is framed")
{
    const auto mode = GENERATE(AnswerRelay::Mode::Stream, AnswerRelay::Mode::ResumableStream);
    const auto end = GENERATE(AnswerEnd::Framed, AnswerEnd::Connection);
    const auto events = std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    for (auto cut = std::size_t { 0 }; cut <= events.size(); ++cut) {
        auto relay = AnswerRelay(header(), mode, false, false);
        relay.consume(std::string_view(events).substr(0, cut));
        const auto isBetweenEvents = cut == events.size() / 2 || cut == events.size();
        CHECK(relay.isComplete(end) == (isBetweenEvents || (cut == 0 && end == AnswerEnd::Framed)));
        CHECK(!relay.isComplete(AnswerEnd::Broken));
    }
}

TEST_CASE("A resumed stream that ends with its connection before its next event is not complete")
{
    auto relay = AnswerRelay(header(), AnswerRelay::Mode::ResumableStream, false, false);
    relay.consume("id: 1\n\nid: 2\nda");
    relay.resume();
    CHECK(!relay.isComplete(AnswerEnd::Connection));
    relay.consume("id: 2\n\n");
    CHECK(relay.isComplete(AnswerEnd::Connection));
}

TEST_CASE(
    "A stream that ends inside an event at its declared length does not reach the caller with that length")
{
    auto made = header();
    made.set("Content-Length", "12");
    auto relay = AnswerRelay(made, AnswerRelay::Mode::Stream, false, false);
    auto text = relay.consume("id: 1\n\n");
    text += relay.consume("id: 2");
    CHECK(text.ends_with("\r\n\r\nid: 1\n\n"));
    CHECK(!relay.isComplete(AnswerEnd::Framed));
}

TEST_CASE("A plain answer without a length is complete when its connection is closed, and not when it breaks")
{
    auto relay = AnswerRelay(header(), AnswerRelay::Mode::Buffered, false, false);
    relay.consume("ab");
    CHECK(relay.isComplete(AnswerEnd::Connection));
    CHECK(!relay.isComplete(AnswerEnd::Broken));
}

TEST_CASE(
    "A resumed stream passes on nothing that does not follow on its events, and is not complete with it")
{
    const auto foreign = GENERATE(as<std::string> {}, "upstream failed\n\n", "<html>\n<p>error</p>\n\n",
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", "id: 2\ndata: again\n\n",
        "id: 1\ndata: from the start\n\n");
    auto relay = AnswerRelay(header(), AnswerRelay::Mode::ResumableStream, false, false);
    CHECK(!relay.consume("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda").empty());
    relay.resume();
    const auto before = GENERATE(as<std::string> {}, "", "id: 3\ndata: c\n\n");
    CAPTURE(foreign, before);
    const auto text = relay.consume(before + foreign + "id: 9\ndata: z\n\n");
    CHECK(bodyOf(text) == before);
    CHECK(relay.isForeign());
    CHECK_FALSE(relay.isComplete(AnswerEnd::Framed));
    CHECK(relay.consume("id: 10\ndata: z\n\n").empty());

    relay.resume();
    CHECK_FALSE(relay.isForeign());
    CHECK(bodyOf(relay.consume("id: 4\ndata: d\n\n: comment\n\n")) == "id: 4\ndata: d\n\n: comment\n\n");
    CHECK(relay.isComplete(AnswerEnd::Framed));
}

// The bytes of a body behind such a head would be taken for the beginning of the next answer.
TEST_CASE("Nothing follows the head of an answer that has no body")
{
    const auto mode = GENERATE(
        AnswerRelay::Mode::Buffered, AnswerRelay::Mode::Stream, AnswerRelay::Mode::ResumableStream);
    const auto isHead = GENERATE(false, true);
    auto made = header();
    if (!isHead)
        made.result(204);
    auto relay = AnswerRelay(made, mode, isHead, false);
    const auto text = relay.finish();
    CAPTURE(text);
    CHECK(text.find("\r\n\r\n") == text.size() - 4);
}

TEST_CASE("The answer to a HEAD request keeps the length that it announces")
{
    const auto status = GENERATE(200U, 304U);
    auto made = header();
    made.result(status);
    made.set("Content-Length", "500");
    auto relay = AnswerRelay(made, AnswerRelay::Mode::Buffered, true, false);
    CHECK(relay.finish().find("Content-Length: 500\r\n") != std::string::npos);
}
