#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <opentracing/mocktracer/tracer.h>

#include "messages.h"

namespace camphorshunt {

/**
 * Builds OpenTracing spans (caller, claim, queue, upstream) from the recorded events of requests. Each
 * finished span is written as one JSON line with its W3C Trace Context ids. Telemetry thread only.
 */
class RequestSpans {
public:
    explicit RequestSpans(std::function<void(std::string line)> write);

    auto handle(const RequestOpened& opened) -> void;
    auto handle(const FirstByteSent& first) -> void;
    auto handle(const RequestClosed& closed) -> void;
    auto handle(const StepRecorded& recorded) -> void;
    auto handle(const AttemptRecorded& recorded) -> void;

private:
    using SpanPtr = std::unique_ptr<opentracing::Span>;
    struct Request {
        std::string traceparent;
        SpanPtr caller;
        SpanPtr claim;
        SpanPtr queue;
        SpanPtr upstream;
        std::uint32_t queued {};
        std::uint32_t sent {};
    };

    auto start(RequestId id, const Request& request, std::string_view name, std::uint32_t number,
        std::string_view parent, Time at) const -> SpanPtr;

    std::shared_ptr<opentracing::Tracer> tracer_;
    std::unordered_map<RequestId, Request> requests_;
};

} // namespace camphorshunt
