#include "requestmetrics.h"

#include <boost/describe/enum_to_string.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "tracedescribe.h"

namespace camphorshunt {

namespace {

namespace json = boost::json;

/** Label of requests whose service is in no document. */
constexpr auto noService = "none";

auto buckets() -> prometheus::Histogram::BucketBoundaries
{
    return { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300 };
}

auto counters(prometheus::Registry& registry, const std::string& name, const std::string& help)
    -> prometheus::Family<prometheus::Counter>&
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

auto histograms(prometheus::Registry& registry, const std::string& name, const std::string& help)
    -> prometheus::Family<prometheus::Histogram>&
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

auto gauges(prometheus::Registry& registry, const std::string& name, const std::string& help)
    -> prometheus::Family<prometheus::Gauge>&
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

auto seconds(Duration duration) -> double { return std::chrono::duration<double>(duration).count(); }

} // namespace

RequestMetrics::RequestMetrics(prometheus::Registry& registry)
    : ended_(counters(registry, "camphorshunt_requests_total",
        "Requests that ended, by service and what their caller was told"))
    , refusals_(
          counters(registry, "camphorshunt_refusals_total", "Requests answered as not run, by the reason"))
    , steps_(counters(registry, "camphorshunt_request_steps_total", "Steps in the life of requests"))
    , attempts_(counters(registry, "camphorshunt_attempts_total", "Attempts at upstreams, by result"))
    , retries_(
          counters(registry, "camphorshunt_retries_total", "Requests queued again after an attempt").Add({}))
    , grants_(counters(registry, "camphorshunt_grants_total", "Slots given to requests").Add({}))
    , claims_(counters(registry, "camphorshunt_claims_total", "Claims of idempotency keys, by step"))
    , queueWait_(
          histograms(registry, "camphorshunt_queue_wait_seconds", "From queueing to the grant of a slot"))
    , firstByte_(histograms(registry, "camphorshunt_time_to_first_byte_seconds",
          "From the whole request to the first byte of its answer"))
    , members_(gauges(registry, "camphorshunt_members_alive", "Daemons believed to be alive, this one too")
                   .Add({}))
    , versions_(
          gauges(registry, "camphorshunt_document_version", "Version of the document in force, by service"))
{
}

auto RequestMetrics::label(const Request& request) -> std::string
{
    return request.admitted ? request.service : noService;
}

auto RequestMetrics::serviceOf(RequestId request) const -> std::string
{
    const auto found = requests_.find(request);
    return found == requests_.end() ? std::string(noService) : label(found->second);
}

auto RequestMetrics::handle(const RequestOpened& opened) -> void
{
    requests_.insert_or_assign(opened.request, Request { opened.service, opened.at, {}, false });
}

auto RequestMetrics::handle(const FirstByteSent& first) -> void
{
    const auto found = requests_.find(first.request);
    if (found == requests_.end())
        return;
    firstByte_.Add({ { "service", label(found->second) } }, buckets())
        .Observe(seconds(first.at - found->second.opened));
}

auto RequestMetrics::handle(const RequestClosed& closed) -> void
{
    ended_.Add({ { "service", serviceOf(closed.request) }, { "outcome", closed.outcome } }).Increment();
    if (closed.outcome == outcomeName(RequestOutcome::NotRun))
        refusals_.Add({ { "reason", closed.reason } }).Increment();
    requests_.erase(closed.request);
}

auto RequestMetrics::handle(const StepRecorded& recorded) -> void
{
    const auto step = recorded.step.step;
    steps_.Add({ { "step", boost::describe::enum_to_string(step, "") } }).Increment();
    if (step == RequestStep::Retried)
        retries_.Increment();
    if (step == RequestStep::Granted)
        grants_.Increment();
    if (step == RequestStep::ClaimAppended)
        claims_.Add({ { "step", "appended" } }).Increment();
    if (step == RequestStep::ClaimWon)
        claims_.Add({ { "step", "won" } }).Increment();

    const auto found = requests_.find(recorded.step.request);
    if (found == requests_.end())
        return;
    auto& request = found->second;
    request.admitted = recorded.step.service == idOf<ServiceId>(request.service);
    if (step == RequestStep::Queued)
        request.queued = recorded.at;
    if (step == RequestStep::Granted)
        queueWait_.Add({ { "service", label(request) } }, buckets())
            .Observe(seconds(recorded.at - request.queued));
}

auto RequestMetrics::handle(const AttemptRecorded& recorded) -> void
{
    attempts_.Add({ { "result", boost::describe::enum_to_string(recorded.result, "") } }).Increment();
}

auto RequestMetrics::setStatus(std::string_view status) -> void
{
    auto code = boost::system::error_code {};
    const auto value = json::parse(status, code);
    if (code)
        return;
    if (const auto* const live = value.find_pointer("/members/live", code))
        members_.Set(live->to_number<double>(code));
    const auto* const services = value.find_pointer("/services", code);
    if (!services || !services->is_array())
        return;
    for (const auto& service : services->get_array()) {
        const auto* const name = service.find_pointer("/service", code);
        const auto* const version = service.find_pointer("/version", code);
        if (name && name->is_string() && version)
            versions_.Add({ { "service", std::string(name->get_string()) } })
                .Set(version->to_number<double>(code));
    }
}

} // namespace camphorshunt
