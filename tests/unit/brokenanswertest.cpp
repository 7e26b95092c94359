#include "scriptedupstream.h"

// Answers that end before they are complete. What tells is their framing, and the order in which the kernel
// reports bytes, ends and resets while the request is still being written.

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace camphorshunt::test;

namespace {

const auto signedHead = std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: second\r\nX-Response-Signature: s\r\n");
constexpr auto event = std::string_view("id: 1\ndata: x\n\n");

enum class Framing { None, Length, Chunks };

auto eventsOf(std::size_t count) -> std::string
{
    auto body = std::string {};
    for (auto index = std::size_t { 0 }; index < count; ++index)
        body += event;
    return body;
}

/** The head of an answer, and a part of its body that promises more unless the connection ends it. */
auto unfinishedAnswer(Framing framing, std::size_t events) -> std::pair<std::string, std::string>
{
    const auto body = eventsOf(events);
    switch (framing) {
    case Framing::Length:
        return { signedHead + "Content-Length: " + std::to_string(body.size() + event.size()) + "\r\n\r\n",
            body };
    case Framing::Chunks:
        return { signedHead + "Transfer-Encoding: chunked\r\n\r\n", "f\r\n" + std::string(event) + "\r\n" };
    case Framing::None:
        break;
    }
    return { signedHead + "\r\n", body };
}

/** How the bytes of an answer reach the router, until its connection is reset. */
enum class Order { OneWrite, TwoWrites, ReadBeforeReset, PausedBeforeReset };

/** How an upstream ends in order while a request is still being sent to it. */
enum class OrderlyEnd {
    HalfClose,
    /** The bytes of the request that follow are answered with a reset. */
    Close,
    /** The kernel resets a connection that is closed with unread bytes, at once after the orderly end. */
    CloseUnread
};

/** An upstream, and the request on a new or a kept connection that it answers. */
struct Upload {
    Upload(RequestKind kind, bool resumable, bool isKept)
    {
        if (isKept)
            upstream.keepConnection();
        answer.route.kind = kind;
        answer.route.resumable = resumable;
        upstream.sendUpload(answer);
    }

    auto isDelivered() const -> bool { return answer.ended && answer.intake.isComplete(*answer.ended); }

    ScriptedUpstream upstream;
    OneAnswer answer { "second" };
};

auto sendAndReset(Upload& upload, const std::pair<std::string, std::string>& text, Order order) -> void
{
    auto& upstream = upload.upstream;
    upload.answer.pausesOnBody = order == Order::PausedBeforeReset;
    if (order == Order::OneWrite) {
        upstream.write(text.first + text.second);
    } else {
        upstream.write(text.first);
        upstream.write(text.second);
    }
    if (order == Order::ReadBeforeReset || order == Order::PausedBeforeReset)
        upstream.run();
    upstream.end(true);
    if (order == Order::PausedBeforeReset) {
        upload.answer.pausesOnBody = false;
        upload.answer.connection->resumeReading();
        upstream.run();
    }
}

} // namespace

// Incident of issue 62: the write of the request took the socket's error, and the read after it saw an end of
// file as after an orderly close.
TEST_CASE("An answer whose connection is reset during the upload is not complete")
{
    const auto kind = GENERATE(RequestKind::NonIdempotent, RequestKind::Stream);
    const auto isKept = GENERATE(false, true);
    const auto framing = GENERATE(Framing::None, Framing::Length, Framing::Chunks);
    const auto order
        = GENERATE(Order::OneWrite, Order::TwoWrites, Order::ReadBeforeReset, Order::PausedBeforeReset);
    const auto events = GENERATE(std::size_t { 1 }, std::size_t { 200 }, std::size_t { 4000 });
    CAPTURE(kind, isKept, framing, order, events);
    auto upload = Upload(kind, false, isKept);
    sendAndReset(upload, unfinishedAnswer(framing, events), order);
    CHECK(upload.answer.ended == AnswerEnd::Broken);
    CHECK_FALSE(upload.isDelivered());
    CHECK_FALSE(upload.answer.connection->isOpen());
}

// The first write finds a connection that has failed since the answer before.
TEST_CASE("An answer whose connection is reset before its request is written is not complete")
{
    const auto events = GENERATE(std::size_t { 1 }, std::size_t { 4000 });
    auto upstream = ScriptedUpstream {};
    upstream.keepConnection();
    const auto [head, body] = unfinishedAnswer(Framing::None, events);
    upstream.write(head + body);
    upstream.socket.set_option(boost::asio::socket_base::linger(true, 0));
    upstream.socket.close();
    auto answer = OneAnswer { "second" };
    answer.connection = upstream.pool.send(upstream.entry, "GET / HTTP/1.1\r\n\r\n", false, false, answer);
    REQUIRE(answer.connection->isConnected());
    upstream.run();
    CHECK(answer.ended == AnswerEnd::Broken);
    CHECK_FALSE(answer.connection->isOpen());
}

// The upstream's host answers the first bytes of the request with a reset, after the orderly end.
TEST_CASE("A ready answer that ended in order before its request is written is delivered whole")
{
    const auto events = GENERATE(std::size_t { 1 }, std::size_t { 4000 });
    auto upstream = ScriptedUpstream {};
    upstream.keepConnection();
    const auto [head, body] = unfinishedAnswer(Framing::None, events);
    upstream.write(head + body);
    upstream.shutDown();
    upstream.socket.close();
    auto answer = OneAnswer { "second" };
    answer.route.kind = RequestKind::Stream;
    answer.connection
        = upstream.pool.send(upstream.entry, uploadOf(std::size_t { 8 } * 1024 * 1024), false, false, answer);
    REQUIRE(answer.connection->isConnected());
    upstream.run();
    CHECK(answer.ended == AnswerEnd::Connection);
    CHECK(answer.connection->fault().empty());
    CHECK(answer.intake.streamFigures()->events == events);
}

TEST_CASE("An answer whose connection is reset after the request is not complete")
{
    const auto framing = GENERATE(Framing::None, Framing::Length, Framing::Chunks);
    const auto withHeadOnly = GENERATE(false, true);
    const auto events = GENERATE(std::size_t { 1 }, std::size_t { 4000 });
    CAPTURE(framing, withHeadOnly, events);
    auto upstream = ScriptedUpstream {};
    auto answer = OneAnswer { "second" };
    upstream.send(answer);
    const auto [head, body] = unfinishedAnswer(framing, events);
    upstream.write(withHeadOnly ? head : head + body);
    upstream.end(true);
    CHECK(answer.ended == AnswerEnd::Broken);
    CHECK_FALSE(answer.intake.isComplete(AnswerEnd::Broken));
}

TEST_CASE("A part of a resumable stream whose connection is reset during the upload does not end the stream")
{
    const auto order = GENERATE(Order::OneWrite, Order::TwoWrites, Order::PausedBeforeReset);
    const auto events = GENERATE(std::size_t { 1 }, std::size_t { 4000 });
    CAPTURE(order, events);
    auto upload = Upload(RequestKind::Stream, true, false);
    sendAndReset(upload, unfinishedAnswer(Framing::None, events), order);
    CHECK(upload.answer.ended == AnswerEnd::Broken);
    CHECK(upload.answer.intake.isReplaceable());
}

TEST_CASE("A ready answer that its upstream ends in order during the upload is delivered whole")
{
    const auto framing = GENERATE(Framing::None, Framing::Length, Framing::Chunks);
    const auto isKept = GENERATE(false, true);
    const auto end = GENERATE(OrderlyEnd::HalfClose, OrderlyEnd::Close, OrderlyEnd::CloseUnread);
    const auto isPaused = GENERATE(false, true);
    const auto events = GENERATE(std::size_t { 1 }, std::size_t { 200 }, std::size_t { 4000 });
    CAPTURE(framing, isKept, end, isPaused, events);
    auto upload = Upload(RequestKind::Stream, false, isKept);
    auto& upstream = upload.upstream;
    upload.answer.pausesOnBody = isPaused;
    const auto [head, body] = unfinishedAnswer(framing, events);
    upstream.write(head + body + (framing == Framing::Length ? std::string(event) : ""));
    if (framing == Framing::Chunks)
        upstream.write("0\r\n\r\n");
    while (end == OrderlyEnd::Close && upstream.drain()) { }
    REQUIRE(upload.answer.connection->unsentBytes() > 0);
    upstream.shutDown();
    if (end == OrderlyEnd::HalfClose)
        upstream.run();
    else
        upstream.end(false);
    if (isPaused && !upload.answer.ended) {
        upload.answer.pausesOnBody = false;
        upload.answer.connection->resumeReading();
        upstream.run();
    }
    REQUIRE(upload.answer.ended);
    CHECK(*upload.answer.ended == (framing == Framing::None ? AnswerEnd::Connection : AnswerEnd::Framed));
    CHECK(upload.isDelivered());
    CHECK(upload.answer.intake.streamFigures()->events
        == (framing == Framing::Chunks ? 1 : events + (framing == Framing::Length ? 1 : 0)));
}

// An upstream that takes no bytes of the request for longer than the connection allows.
TEST_CASE(
    "An answer on a connection that times out during the upload is complete only if it had ended before")
{
    const auto hasEnded = GENERATE(false, true);
    CAPTURE(hasEnded);
    auto upload = Upload(RequestKind::Stream, false, false);
    upload.answer.pausesOnBody = true;
    const auto [head, body] = unfinishedAnswer(Framing::None, 4000);
    upload.upstream.write(head + body);
    if (hasEnded)
        upload.upstream.shutDown();
    upload.upstream.context.restart();
    upload.upstream.context.run_for(std::chrono::seconds(4));
    upload.answer.pausesOnBody = false;
    upload.answer.connection->resumeReading();
    upload.upstream.run();
    CHECK(upload.answer.ended == (hasEnded ? AnswerEnd::Connection : AnswerEnd::Broken));
    CHECK(upload.isDelivered() == hasEnded);
}
