#include "upstreams.h"

#include <array>
#include <charconv>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "camphorshunt/registry.h"

#include "bufferedcall.h"
#include "callerrequest.h"
#include "loadreport.h"
#include "traceparent.h"

namespace camphorshunt {

namespace {

constexpr auto idlePerUpstream = std::size_t { 64 };
constexpr auto idleTimeout = std::chrono::milliseconds(10000);

} // namespace

Upstreams::Upstreams(boost::asio::io_context& context, std::string attemptPrefix, const Rings& rings)
    : rings_(rings)
    , attemptPrefix_(std::move(attemptPrefix))
    , client_(net::HttpClient::create(context, idlePerUpstream, idleTimeout))
{
    rings_.fromCallers.onItem([this](CallersToUpstreams message) {
        std::visit([this](auto& item) { handle(std::move(item)); }, message);
    });
    rings_.fromScheduler.onItem([this](SchedulerToUpstreams message) {
        // Deliver pending bodies first: this message may send a request whose body is still in the ring.
        rings_.fromCallers.deliver();
        std::visit([this](const auto& order) { handle(order); }, message);
    });
    rings_.toCallers.onFlushed([this] {
        for (auto& event : std::exchange(heldReports_, {}))
            rings_.toScheduler.push(std::move(event));
    });
}

auto Upstreams::handle(NewBody body) -> void
{
    const auto id = body.request;
    requests_.emplace(id, Request { std::move(body), nullptr, {}, false });
}

auto Upstreams::handle(const DropBody& drop) -> void
{
    const auto found = requests_.find(drop.request);
    if (found == requests_.end())
        return;
    if (const auto& attempt = found->second.attempt) {
        attempt->detach();
        detached_.emplace(drop.request, attempt);
    }
    requests_.erase(found);
}

auto Upstreams::handle(const Credit& credit) -> void
{
    const auto found = requests_.find(credit.request);
    if (found != requests_.end() && found->second.attempt)
        found->second.attempt->credit(credit.bytes);
}

auto Upstreams::handle(const SendAttempt& order) -> void
{
    const auto found = requests_.find(order.request);
    auto kind = findKind(order.upstreamKind);
    if (found == requests_.end() || !kind) {
        reportNotSent(order);
        return;
    }
    auto& request = found->second;
    auto id = attemptPrefix_ + requestIdText(order.request) + "-" + std::to_string(order.attempt);
    if (order.resumeAfter == 0)
        request.streamAttemptId = id;
    auto message = httpRequest(order, request, id, *kind);
    request.attempt = std::make_shared<Attempt>(
        order, std::move(id), std::move(kind), request.headPassed, attemptHandlers());
    request.attempt->start(*client_, std::move(message));
}

auto Upstreams::httpRequest(const SendAttempt& order, const Request& request, const std::string& id,
    const UpstreamKind& kind) const -> net::HttpRequest
{
    auto message = net::HttpRequest { "POST", kind.target(order.operation), {}, *request.body.body };
    message.headers.push_back({ "Camphorshunt-Attempt-Id", id });
    if (!request.body.contentType.empty())
        message.headers.push_back({ "Content-Type", request.body.contentType });
    if (!request.body.traceparent.empty())
        message.headers.push_back({ "traceparent",
            withParent(request.body.traceparent, spanIdOf(order.request, upstreamSpan, order.attempt)) });
    const auto attempt = UpstreamAttempt { order.operation, request.body.idempotencyKey,
        request.streamAttemptId, order.resumeAfter, order.fencingNumber };
    for (auto& [name, value] : kind.headers(attempt))
        message.headers.push_back({ name, value });
    return message;
}

auto Upstreams::attemptHandlers() -> Attempt::Handlers
{
    auto handlers = Attempt::Handlers {};
    handlers.onHead = [this](AnswerHead head) { rings_.toCallers.push(std::move(head)); };
    handlers.onChunk = [this](AnswerChunk chunk) { rings_.toCallers.push(std::move(chunk)); };
    handlers.onComplete = [this](CompleteAnswer answer) { rings_.toCallers.push(std::move(answer)); };
    handlers.onProgress = [this](const AttemptProgress& progress) { report(progress); };
    handlers.onEnd = [this](const AttemptEnded& ended) { onAttemptEnded(ended); };
    return handlers;
}

auto Upstreams::onAttemptEnded(const AttemptEnded& ended) -> void
{
    detached_.erase(ended.request);
    const auto found = requests_.find(ended.request);
    if (found != requests_.end()) {
        found->second.attempt = nullptr;
        found->second.headPassed = found->second.headPassed || ended.headPassed;
    }
    report(ended);
}

auto Upstreams::reportNotSent(const SendAttempt& order) -> void
{
    auto ended = AttemptEnded { order.request, order.attempt, AttemptResult::NotSent };
    ended.eventsPassed = order.resumeAfter;
    report(ended);
}

auto Upstreams::report(Event event) -> void
{
    if (rings_.toCallers.overflowing() || !heldReports_.empty())
        heldReports_.push_back(std::move(event));
    else
        rings_.toScheduler.push(std::move(event));
}

auto Upstreams::handle(const CancelAttempt& order) -> void
{
    const auto found = requests_.find(order.request);
    auto attempt = found == requests_.end() ? nullptr : found->second.attempt;
    if (const auto detached = detached_.find(order.request); detached != detached_.end())
        attempt = detached->second;
    if (!attempt || attempt->order().attempt != order.attempt)
        return;
    attempt->cancel();
    sendCancel(*attempt, attempt->id());
    if (found != requests_.end() && found->second.streamAttemptId != attempt->id())
        sendCancel(*attempt, found->second.streamAttemptId);
}

auto Upstreams::sendCancel(const Attempt& attempt, const std::string& id) -> void
{
    const auto target = attempt.kind().cancelTarget();
    if (target.empty())
        return;
    const auto body = boost::json::serialize(boost::json::object { { "attempt", id } });
    callBuffered(*client_, attempt.order().endpoint,
        { "POST", target, { { "Content-Type", "application/json" } }, body }, {}, [](const auto&) {});
}

auto Upstreams::handle(const PollLoad& order) -> void
{
    const auto id = order.upstream;
    if (!polled_.insert(id).second)
        return;
    callBuffered(*client_, order.endpoint, { "GET", "/load", {}, {} }, {}, [this, id](const auto& answer) {
        polled_.erase(id);
        const auto report = answer.ok() ? parseLoadReport(id, answer.body) : std::nullopt;
        if (report)
            rings_.toScheduler.push(*report);
        else
            rings_.toScheduler.push(LoadFailed { id });
    });
}

auto Upstreams::findKind(const std::string& name) -> std::shared_ptr<const UpstreamKind>
{
    const auto known = kinds_.find(name);
    if (known != kinds_.end())
        return known->second;
    const auto* const factory = Registry<UpstreamKindFactory>::instance().find(name);
    if (factory == nullptr)
        return nullptr;
    return kinds_.emplace(name, (*factory)()).first->second;
}

} // namespace camphorshunt
