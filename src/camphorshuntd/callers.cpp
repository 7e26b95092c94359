#include "callers.h"

#include "callerrequest.h"
#include "traceparent.h"

namespace camphorshunt {

namespace {

constexpr auto callerGoneOutcome = std::string_view("caller-gone");
constexpr auto jsonType = std::string_view("application/json");

auto now() -> Time { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

auto refuse(net::HttpExchange& exchange, RequestId id, std::uint16_t status, std::string_view outcome,
    std::string_view reason, Duration retryAfter) -> void
{
    auto headers = answerHeaders(id, outcome, jsonType);
    if (retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        headers.push_back({ "Retry-After", std::to_string(seconds) });
    }
    if (status == 405)
        headers.push_back({ "Allow", "POST" });
    exchange.respond(status, std::move(headers), refusalBody(id, outcome, reason));
}

} // namespace

auto Callers::listen(boost::asio::io_context& context, const Settings& settings, const Rings& rings)
    -> Result<std::unique_ptr<Callers>>
{
    auto callers = std::unique_ptr<Callers>(new Callers(rings, settings.firstRequest));
    auto server = net::HttpServer::listen(context, settings.listen, settings.limits,
        [self = callers.get()](net::HttpRequest request, const std::shared_ptr<net::HttpExchange>& exchange) {
            self->onRequest(std::move(request), exchange);
        });
    if (server.has_error())
        return server.error();
    callers->server_ = std::move(server.value());
    return callers;
}

Callers::Callers(const Rings& rings, RequestId firstRequest)
    : rings_(rings)
    , nextRequest_(firstRequest.value)
{
    rings_.fromScheduler.onItem([this](SchedulerToCallers message) {
        // Deliver pending answer bytes first: this message may end the answer that they belong to.
        rings_.fromUpstreams.deliver();
        std::visit([this](const auto& action) { handle(action); }, message);
    });
    rings_.fromUpstreams.onItem([this](UpstreamsToCallers message) {
        std::visit([this](auto& part) { handle(std::move(part)); }, message);
    });
}

auto Callers::onRequest(net::HttpRequest request, const std::shared_ptr<net::HttpExchange>& exchange) -> void
{
    const auto id = RequestId { nextRequest_++ };
    auto read = readCallerRequest(id, request);
    if (const auto* const refusal = std::get_if<CallerRefusal>(&read)) {
        refuse(*exchange, id, refusal->status, "not-run", refusal->reason, {});
        reportClosed(id, "not-run", refusal->reason);
        return;
    }

    auto& accepted = std::get<CallerRequest>(read);
    if (accepted.body.traceparent.empty())
        accepted.body.traceparent = makeTraceparent(random_(), random_(), id);
    rings_.toTelemetry.tryPush(
        RequestOpened { id, accepted.arrived.service, accepted.body.traceparent, now() });
    if (!enqueue(id, std::move(accepted.body), std::move(accepted.arrived))) {
        refuse(*exchange, id, 503, "not-run", "overloaded", 1s);
        reportClosed(id, "not-run", "overloaded");
        return;
    }
    entries_.emplace(id, Entry { exchange });
    exchange->onDisconnect([this, id] { onCallerGone(id); });
}

/** Queues the body before the event, because the core may dispatch the request immediately. */
auto Callers::enqueue(RequestId id, NewBody body, RequestArrived arrived) -> bool
{
    if (!rings_.toUpstreams.tryPush(std::move(body)))
        return false;
    if (rings_.toScheduler.tryPush(std::move(arrived)))
        return true;
    rings_.toUpstreams.push(DropBody { id });
    return false;
}

auto Callers::onCallerGone(RequestId id) -> void
{
    if (!entries_.contains(id))
        return;
    closeRequest(id, callerGoneOutcome, {});
    rings_.toScheduler.push(CallerGone { id });
}

auto Callers::reportClosed(RequestId id, std::string_view outcome, std::string_view reason) -> void
{
    rings_.toTelemetry.push(RequestClosed { id, std::string(outcome), std::string(reason), now() });
}

auto Callers::closeRequest(RequestId id, std::string_view outcome, std::string_view reason) -> void
{
    reportClosed(id, outcome, reason);
    entries_.erase(id);
    rings_.toUpstreams.push(DropBody { id });
}

auto Callers::handle(const AnswerCaller& answer) -> void
{
    const auto found = entries_.find(answer.request);
    if (found == entries_.end())
        return;
    const auto entry = found->second;
    closeRequest(answer.request, outcomeName(answer.outcome), answer.reason);
    if (entry.streaming)
        entry.exchange->abort();
    else if (!entry.answered)
        refuse(*entry.exchange, answer.request, answer.status, outcomeName(answer.outcome), answer.reason,
            answer.retryAfter);
}

auto Callers::handle(const FinishCaller& finish) -> void
{
    const auto found = entries_.find(finish.request);
    if (found == entries_.end())
        return;
    const auto entry = found->second;
    closeRequest(finish.request, outcomeName(finish.outcome), finish.reason);
    if (entry.answered)
        return;
    if (!entry.streaming)
        refuse(*entry.exchange, finish.request, 502, outcomeName(finish.outcome), finish.reason, {});
    else if (finish.outcome == RequestOutcome::Done)
        entry.exchange->finish();
    else
        entry.exchange->abort();
}

auto Callers::handle(const AnswerHead& head) -> void
{
    const auto found = entries_.find(head.request);
    if (found == entries_.end())
        return;
    auto& entry = found->second;
    entry.streaming = true;
    rings_.toTelemetry.tryPush(FirstByteSent { head.request, now() });
    entry.exchange->beginStream(head.status, answerHeaders(head.request, "running", head.contentType));
    entry.exchange->onWritten([this, id = head.request](std::size_t bytes) {
        if (entries_.contains(id))
            rings_.toUpstreams.push(Credit { id, bytes });
    });
}

auto Callers::handle(AnswerChunk chunk) -> void
{
    const auto found = entries_.find(chunk.request);
    if (found != entries_.end() && found->second.streaming)
        found->second.exchange->write(std::move(chunk.bytes));
}

auto Callers::handle(CompleteAnswer answer) -> void
{
    const auto found = entries_.find(answer.request);
    if (found == entries_.end())
        return;
    found->second.answered = true;
    rings_.toTelemetry.tryPush(FirstByteSent { answer.request, now() });
    found->second.exchange->respond(answer.status,
        answerHeaders(answer.request, outcomeName(answer.outcome), answer.contentType),
        std::move(answer.body));
}

} // namespace camphorshunt
