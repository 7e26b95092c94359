#include "requestspans.h"

#include <chrono>
#include <utility>

#include <boost/describe/enum_to_string.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "callerrequest.h"
#include "tracedescribe.h"
#include "traceparent.h"

namespace camphorshunt {

namespace {

namespace json = boost::json;
namespace mocktracer = opentracing::mocktracer;

constexpr auto traceIdTag = "trace_id";
constexpr auto spanIdTag = "span_id";
constexpr auto parentIdTag = "parent_id";

template <typename Moment> auto microseconds(Moment moment) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(moment).count();
}

auto lineOf(const mocktracer::SpanData& span) -> std::string
{
    auto line = json::object { { "name", span.operation_name },
        { "start_us", microseconds(span.start_timestamp.time_since_epoch()) },
        { "duration_us", microseconds(span.duration) } };
    for (const auto& [name, value] : span.tags) {
        if (value.is<std::string>())
            line[name] = value.get<std::string>();
    }
    return json::serialize(line);
}

class LineRecorder : public mocktracer::Recorder {
public:
    explicit LineRecorder(std::function<void(std::string line)> write)
        : write_(std::move(write))
    {
    }

    auto RecordSpan(mocktracer::SpanData&& span) noexcept -> void override { write_(lineOf(span)); }

private:
    std::function<void(std::string line)> write_;
};

/** Converts to a start time of OpenTracing, which needs the wall-clock time as well as the steady one. */
auto startOf(Time at) -> opentracing::StartTimestamp
{
    const auto ago = std::chrono::steady_clock::now() - at;
    const auto wall = std::chrono::system_clock::now() - ago;
    return { std::chrono::time_point_cast<opentracing::SystemClock::duration>(wall),
        opentracing::SteadyTime(at) };
}

auto finish(std::unique_ptr<opentracing::Span>& span, Time at) -> void
{
    if (span)
        span->Finish({ opentracing::FinishTimestamp(opentracing::SteadyTime(at)) });
    span.reset();
}

} // namespace

RequestSpans::RequestSpans(std::function<void(std::string line)> write)
{
    auto options = mocktracer::MockTracerOptions {};
    options.recorder = std::make_unique<LineRecorder>(std::move(write));
    tracer_ = std::make_shared<mocktracer::MockTracer>(std::move(options));
}

auto RequestSpans::start(RequestId id, const Request& request, std::string_view name, std::uint32_t number,
    std::string_view parent, Time at) const -> SpanPtr
{
    auto span = tracer_->StartSpan(std::string(name), { startOf(at) });
    span->SetTag("request", requestIdText(id));
    span->SetTag(traceIdTag, std::string(traceIdOf(request.traceparent)));
    span->SetTag(spanIdTag, spanIdOf(id, name, number));
    if (!parent.empty())
        span->SetTag(parentIdTag, std::string(parent));
    return span;
}

auto RequestSpans::handle(const RequestOpened& opened) -> void
{
    auto request = Request {};
    request.traceparent = opened.traceparent;
    // A trace that this daemon started names the caller's span as parent; that span is the root and has no
    // parent.
    const auto parent = parentIdOf(opened.traceparent);
    const auto isRoot = parent == spanIdOf(opened.request, callerSpan);
    request.caller
        = start(opened.request, request, callerSpan, 0, isRoot ? std::string_view() : parent, opened.at);
    request.caller->SetTag("service", opened.service);
    requests_.insert_or_assign(opened.request, std::move(request));
}

auto RequestSpans::handle(const FirstByteSent& first) -> void
{
    const auto found = requests_.find(first.request);
    if (found != requests_.end())
        found->second.caller->SetTag(
            "first_byte_us", std::to_string(microseconds(first.at.time_since_epoch())));
}

auto RequestSpans::handle(const RequestClosed& closed) -> void
{
    const auto found = requests_.find(closed.request);
    if (found == requests_.end())
        return;
    auto& request = found->second;
    request.caller->SetTag("outcome", closed.outcome);
    if (!closed.reason.empty())
        request.caller->SetTag("reason", closed.reason);
    for (auto* const span : { &request.upstream, &request.queue, &request.claim, &request.caller })
        finish(*span, closed.at);
    requests_.erase(found);
}

auto RequestSpans::handle(const StepRecorded& recorded) -> void
{
    const auto id = recorded.step.request;
    const auto found = requests_.find(id);
    if (found == requests_.end())
        return;
    auto& request = found->second;
    const auto parent = spanIdOf(id, callerSpan);
    switch (recorded.step.step) {
    case RequestStep::ClaimAppended:
        request.claim = start(id, request, "claim", 0, parent, recorded.at);
        break;
    case RequestStep::ClaimWon:
        finish(request.claim, recorded.at);
        break;
    case RequestStep::Queued:
        request.queue = start(id, request, "queue", ++request.queued, parent, recorded.at);
        break;
    case RequestStep::Granted:
        finish(request.queue, recorded.at);
        break;
    case RequestStep::Sent:
        request.upstream = start(id, request, upstreamSpan, ++request.sent, parent, recorded.at);
        request.upstream->SetTag("upstream", std::to_string(recorded.step.upstream.value));
        break;
    case RequestStep::Retried:
    case RequestStep::Ended:
        break;
    }
}

auto RequestSpans::handle(const AttemptRecorded& recorded) -> void
{
    const auto found = requests_.find(recorded.request);
    if (found == requests_.end() || !found->second.upstream || found->second.sent != recorded.attempt)
        return;
    found->second.upstream->SetTag(
        "result", std::string(boost::describe::enum_to_string(recorded.result, "")));
    finish(found->second.upstream, recorded.at);
}

} // namespace camphorshunt
