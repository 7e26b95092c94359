#include "platformengine.h"

#include <array>

#include "jsonfields.h"

namespace camphorshunt::standins {

namespace json = boost::json;

namespace {

constexpr auto statusError = std::uint16_t { 500 };
constexpr auto statusMisdirected = std::uint16_t { 421 };
constexpr auto recordedHeaders = std::array { "X-Attempt-Id", "X-Tenant", "X-Deadline-Ms",
    "X-Expect-Instance", "Last-Event-Id", "Kv-Fetch", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From",
    "Authorization", "X-Prompt-Prefix", "X-Token-Count" };

/** Pause between the bytes of a stream that trickles; size of the pieces of one that has no end. */
constexpr auto trickleTime = std::chrono::milliseconds(200);
constexpr auto endlessPiece = std::size_t { 4096 };

auto eventCount(std::string_view tokenCount) -> std::uint64_t
{
    const auto comma = tokenCount.find(',');
    return comma == std::string_view::npos ? 1 : numberIn(tokenCount.substr(comma + 1), 1);
}

} // namespace

auto PlatformEngine::headers(const Request& request, const Fault& fault) const -> net::HttpHeaders
{
    const auto attempt = std::string(request.header("X-Attempt-Id"));
    auto headers = net::HttpHeaders { { "X-Attempt-Id",
                                          fault.mode == FaultMode::Crossed ? "crossed" + attempt : attempt },
        { "Keep-Alive", "timeout=5" } };
    if (fault.mode != FaultMode::Unsigned)
        headers.push_back({ "X-Response-Signature", "signed-by-" + options().name });
    return headers;
}

auto PlatformEngine::refuse(const Exchange& exchange) -> void
{
    respondJson(
        *exchange, statusUnavailable, json::object { { "error", "full" } }, { { "X-Not-Executed", "1" } });
}

auto PlatformEngine::serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    if (pathOf(request) == "/admin/runs") {
        respondJson(*exchange, statusOk, json::object { { "runs", runs_ }, { "working", working_ } });
        return;
    }
    if (request.header("X-Attempt-Id").empty()) {
        respondJson(*exchange, statusBadRequest, json::object {}, { { "X-Not-Executed", "1" } });
        return;
    }
    const auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != options().name) {
        respondJson(*exchange, statusMisdirected, json::object {}, { { "X-Instance-Id", options().name } });
        return;
    }
    execute(request, exchange, fault);
}

auto PlatformEngine::execute(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    auto record = json::object { { "method", request.method }, { "target", request.target },
        { "body", request.body } };
    for (const auto* const name : recordedHeaders)
        record[name] = std::string(request.header(name));
    runs_.push_back(std::move(record));

    const auto tokens = request.header("X-Token-Count");
    if (tokens.empty()) {
        ++working_;
        after(options().callTime, [this, request, exchange, fault] {
            --working_;
            answer(request, exchange, fault);
        });
        return;
    }
    const auto stream = std::make_shared<Stream>();
    stream->request = request;
    stream->exchange = exchange;
    stream->fault = fault;
    stream->next = numberIn(request.header("Last-Event-Id"), 0) + 1;
    stream->last = eventCount(tokens);
    ++working_;
    exchange->onDisconnect([this, stream] {
        if (!std::exchange(stream->ended, true))
            --working_;
    });
    if (fault.mode == FaultMode::Error || fault.mode == FaultMode::Unproved
        || fault.mode == FaultMode::LostAck) {
        --working_;
        answer(request, exchange, fault);
        return;
    }
    auto head = headers(request, fault);
    head.push_back({ "Content-Type", "text/event-stream" });
    const auto isUnframed = fault.mode == FaultMode::Unframed || fault.mode == FaultMode::Torn;
    exchange->beginStream(
        statusOk, std::move(head), isUnframed ? net::StreamFraming::Connection : net::StreamFraming::Chunks);
    after(options().tokenTime, [this, stream] { sendEvent(stream); });
}

auto PlatformEngine::answer(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    if (fault.mode == FaultMode::LostAck)
        exchange->abort();
    else if (fault.mode == FaultMode::Error)
        respondJson(*exchange, statusError, json::object { { "error", "broken" } }, headers(request, fault));
    else if (fault.mode == FaultMode::Unproved)
        respondJson(*exchange, statusUnavailable, json::object {}, headers(request, fault));
    else
        exchange->respond(
            statusOk, headers(request, fault), "done " + std::string(request.header("X-Attempt-Id")));
}

auto PlatformEngine::sendEvent(const std::shared_ptr<Stream>& stream) -> void
{
    if (stream->ended)
        return;
    const auto sent = stream->next - 1;
    if (stream->fault.mode == FaultMode::Cut && sent >= stream->fault.afterEvents) {
        stream->ended = true;
        --working_;
        stream->exchange->abort();
        return;
    }
    if (stream->fault.mode == FaultMode::Silent && sent >= stream->fault.afterEvents)
        return;
    const auto isStuck = stream->fault.mode == FaultMode::Trickle || stream->fault.mode == FaultMode::Endless;
    if (isStuck && sent >= stream->fault.afterEvents) {
        const auto isTrickle = stream->fault.mode == FaultMode::Trickle;
        stream->exchange->write(std::string(isTrickle ? 1 : endlessPiece, 'x'));
        after(isTrickle ? trickleTime : options().tokenTime, [this, stream] { sendEvent(stream); });
        return;
    }
    const auto id = std::to_string(stream->next++);
    const auto isTorn = stream->fault.mode == FaultMode::Torn && sent >= stream->fault.afterEvents;
    stream->exchange->write("id: " + id + (isTorn ? "\nda" : "\ndata: token " + id + "\n\n"));
    if (isTorn || stream->next > stream->last) {
        stream->ended = true;
        --working_;
        stream->exchange->finish();
        return;
    }
    after(options().tokenTime, [this, stream] { sendEvent(stream); });
}

} // namespace camphorshunt::standins
