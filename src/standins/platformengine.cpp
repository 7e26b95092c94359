#include "platformengine.h"

#include <array>
#include <cstdlib>

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

/** Whether a prompt has the part, other than as its last one. */
auto hasSharedPart(std::string_view prefix, std::string_view part) -> bool
{
    const auto last = prefix.rfind(',');
    if (part.empty() || last == std::string_view::npos)
        return false;
    const auto shared = ',' + std::string(prefix.substr(0, last));
    return shared.find(',' + std::string(part) + ':') != std::string::npos;
}

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

auto PlatformEngine::runningTime() const -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - startedAt_)
        .count();
}

auto PlatformEngine::recordArrival(const Request& request, const Exchange& exchange) -> void
{
    unanswered_[exchange.get()] = arrivals_.size();
    arrivals_.push_back(json::object { { "attempt", std::string(request.header("X-Attempt-Id")) },
        { "at", runningTime() }, { "answeredAt", -1 }, { "status", 0 }, { "leaving", false } });
}

auto PlatformEngine::beginAnswer(const Exchange& exchange, std::uint16_t status, net::HttpHeaders headers)
    -> net::HttpHeaders
{
    if (const auto found = unanswered_.find(exchange.get()); found != unanswered_.end()) {
        auto& arrival = arrivals_[found->second].as_object();
        arrival["answeredAt"] = runningTime();
        arrival["status"] = status;
        arrival["leaving"] = leaving();
        unanswered_.erase(found);
    }
    if (leaving())
        headers.push_back({ "Server-Leaving", "1" });
    return headers;
}

auto PlatformEngine::refuseWith(const Exchange& exchange, std::uint16_t status, net::HttpHeaders headers)
    -> void
{
    headers.push_back({ "X-Not-Executed", "1" });
    respondJson(*exchange, status, json::object { { "error", "not executed" } },
        beginAnswer(exchange, status, std::move(headers)));
}

auto PlatformEngine::refuse(const Exchange& exchange) -> void { refuseWith(exchange, statusUnavailable, {}); }

auto PlatformEngine::serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    if (pathOf(request) == "/admin/runs") {
        respondJson(*exchange, statusOk, json::object { { "runs", runs_ }, { "working", working_ } });
        return;
    }
    if (pathOf(request) == "/admin/arrivals") {
        respondJson(*exchange, statusOk, json::object { { "arrivals", arrivals_ } });
        return;
    }
    if (request.header("X-Attempt-Id").empty()) {
        refuseWith(exchange, statusBadRequest, {});
        return;
    }
    const auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != options().name) {
        respondJson(*exchange, statusMisdirected, json::object {},
            beginAnswer(exchange, statusMisdirected, { { "X-Instance-Id", options().name } }));
        return;
    }
    if (fault.mode == FaultMode::Rest) {
        auto answer = net::HttpHeaders { { "X-Attempt-Id", std::string(request.header("X-Attempt-Id")) } };
        if (!fault.retryAfter.empty())
            answer.push_back({ "Retry-After", fault.retryAfter });
        refuseWith(exchange, statusUnavailable, std::move(answer));
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
    exchange->beginStream(statusOk, beginAnswer(exchange, statusOk, std::move(head)),
        isUnframed ? net::StreamFraming::Connection : net::StreamFraming::Chunks);
    after(options().tokenTime, [this, stream] { sendEvent(stream); });
}

auto PlatformEngine::answer(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    if (fault.mode == FaultMode::LostAck) {
        exchange->abort();
        return;
    }
    auto status = statusOk;
    if (fault.mode == FaultMode::Error)
        status = statusError;
    if (fault.mode == FaultMode::Unproved)
        status = statusUnavailable;
    auto head = beginAnswer(exchange, status, headers(request, fault));
    if (status == statusOk)
        exchange->respond(status, std::move(head), "done " + std::string(request.header("X-Attempt-Id")));
    else
        respondJson(*exchange, status, json::object { { "error", "broken" } }, std::move(head));
}

auto PlatformEngine::sendEvent(const std::shared_ptr<Stream>& stream) -> void
{
    if (stream->ended)
        return;
    if (hasSharedPart(stream->request.header("X-Prompt-Prefix"), options().crashPart))
        std::_Exit(EXIT_FAILURE);
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
