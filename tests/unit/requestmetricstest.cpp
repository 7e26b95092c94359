#include "requestmetrics.h"

#include <string>

#include <catch2/catch.hpp>
#include <prometheus/text_serializer.h>

#include "traceparent.h"

using namespace camphorshunt;

namespace {

constexpr auto request = RequestId { 7 };

auto textOf(const prometheus::Registry& registry) -> std::string
{
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

auto stepOf(RequestStep step, std::string_view service, Time at) -> StepRecorded
{
    return { NoteStep { request, step, {}, idOf<ServiceId>(service), {}, {} }, at };
}

} // namespace

TEST_CASE("A request is counted under its service with its queue wait in seconds")
{
    auto registry = prometheus::Registry {};
    auto metrics = RequestMetrics(registry);
    metrics.handle(RequestOpened { request, "booking", {}, Time(1s) });
    metrics.handle(stepOf(RequestStep::ClaimAppended, "booking", Time(1s)));
    metrics.handle(stepOf(RequestStep::ClaimWon, "booking", Time(1s)));
    metrics.handle(stepOf(RequestStep::Queued, "booking", Time(1s)));
    metrics.handle(stepOf(RequestStep::Granted, "booking", Time(1500ms)));
    metrics.handle(AttemptRecorded { request, 1, AttemptResult::Complete, Time(3s) });
    metrics.handle(FirstByteSent { request, Time(3s) });
    metrics.handle(RequestClosed { request, "done", {}, Time(3s) });

    const auto text = textOf(registry);
    CHECK(
        text.find(R"(camphorshunt_requests_total{outcome="done",service="booking"} 1)") != std::string::npos);
    CHECK(text.find(R"(camphorshunt_queue_wait_seconds_sum{service="booking"} 0.5)") != std::string::npos);
    CHECK(text.find(R"(camphorshunt_time_to_first_byte_seconds_sum{service="booking"} 2)")
        != std::string::npos);
    CHECK(text.find(R"(camphorshunt_attempts_total{result="Complete"} 1)") != std::string::npos);
    CHECK(text.find(R"(camphorshunt_claims_total{step="won"} 1)") != std::string::npos);
    CHECK(text.find("camphorshunt_grants_total 1") != std::string::npos);
}

TEST_CASE("An unknown service name does not become a label, and its refusal is counted by reason")
{
    auto registry = prometheus::Registry {};
    auto metrics = RequestMetrics(registry);
    metrics.handle(RequestOpened { request, "made-up", {}, Time(1s) });
    metrics.handle(RequestClosed { request, "not-run", "unknown-service", Time(1s) });
    metrics.handle(RequestClosed { RequestId { 8 }, "not-run", "bad-hint", Time(1s) });

    const auto text = textOf(registry);
    CHECK(text.find("made-up") == std::string::npos);
    CHECK(
        text.find(R"(camphorshunt_requests_total{outcome="not-run",service="none"} 2)") != std::string::npos);
    CHECK(text.find(R"(camphorshunt_refusals_total{reason="unknown-service"} 1)") != std::string::npos);
    CHECK(text.find(R"(camphorshunt_refusals_total{reason="bad-hint"} 1)") != std::string::npos);
}

TEST_CASE("Members alive and document versions are read from the status")
{
    auto registry = prometheus::Registry {};
    auto metrics = RequestMetrics(registry);
    metrics.setStatus(R"({"members":{"live":3},"services":[{"service":"booking","version":12}]})");
    metrics.setStatus("{");
    const auto text = textOf(registry);
    CHECK(text.find("camphorshunt_members_alive 3") != std::string::npos);
    CHECK(text.find(R"(camphorshunt_document_version{service="booking"} 12)") != std::string::npos);
}

TEST_CASE("A forwarded trace context has a new parent, and a generated one is valid")
{
    const auto given = std::string("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00");
    const auto passed = withParent(given, spanIdOf(request, upstreamSpan, 1));
    CHECK(isTraceparent(passed));
    CHECK(traceIdOf(passed) == traceIdOf(given));
    CHECK(parentIdOf(passed) != parentIdOf(given));
    CHECK(passed.ends_with("-00"));
    CHECK(spanIdOf(request, upstreamSpan, 1) != spanIdOf(request, upstreamSpan, 2));
    CHECK(isTraceparent(makeTraceparent(0, 0, request)));
    CHECK_FALSE(isTraceparent("00-00000000000000000000000000000000-b7ad6b7169203331-01"));
    CHECK_FALSE(isTraceparent("00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01"));
    CHECK_FALSE(isTraceparent("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));
}
