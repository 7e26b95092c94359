#include "routermetrics.h"

namespace camphorshunt::router {

namespace {

using prometheus::Registry;

using Buckets = prometheus::Histogram::BucketBoundaries;

/** Upper bounds in seconds, from a fast plain call to the longest stream. */
auto timeBuckets() -> Buckets
{
    return { 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 3, 5, 8, 15 };
}

/** Upper bounds in seconds, from one step of the scheduler to a stall of several heartbeats. */
auto stepBuckets() -> Buckets { return { 0.0002, 0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 3 }; }

auto counters(Registry& registry, const char* name, const char* help)
    -> prometheus::Family<prometheus::Counter>*
{
    return &prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

auto counter(Registry& registry, const char* name, const char* help) -> prometheus::Counter*
{
    return &counters(registry, name, help)->Add({});
}

auto gauge(Registry& registry, const char* name, const char* help) -> prometheus::Gauge*
{
    return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

auto histogram(Registry& registry, const char* name, const char* help, const Buckets& buckets)
    -> prometheus::Histogram*
{
    return &prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, buckets);
}

auto seconds(Duration time) -> double { return std::chrono::duration<double>(time).count(); }

auto label(const char* name, std::string_view value) -> std::map<std::string, std::string>
{
    return { { name, std::string(value) } };
}

} // namespace

RouterMetrics::RouterMetrics(Registry& registry)
    : requests_(counters(registry, "router_requests_total", "Requests by how they ended for the caller"))
    , refusals_(counters(registry, "router_refusals_total", "Requests refused by the placer, by reason"))
    , attempts_(counters(registry, "router_attempts_total", "Requests sent to upstreams, by how they ended"))
    , storeCalls_(counters(registry, "router_store_calls_total", "Calls to the platform's store, by result"))
    , announcements_(counters(registry, "router_upstream_announcements_total",
          "Upstreams that began to leave or to rest, as their answers said, by kind"))
    , engineQueries_(counters(registry, "router_engine_queries_total",
          "Engines asked whether they still run after they broke off requests, by state"))
    , sendsWithheld_(counter(registry, "router_sends_withheld_total",
          "Requests not sent to a chosen upstream, as it leaves or rests"))
    , leaving_(gauge(registry, "router_upstreams_leaving", "Upstreams that get no requests as they leave"))
    , resting_(gauge(registry, "router_upstreams_resting", "Upstreams that get no requests as they rest"))
    , evacuated_(gauge(registry, "router_upstreams_evacuated",
          "Upstreams that get no requests as their failure domain is evacuated"))
    , requestTime_(histogram(
          registry, "router_request_seconds", "From a request to the end of its answer", timeBuckets()))
    , firstByteTime_(histogram(registry, "router_first_byte_seconds",
          "From a request to the first byte of its answer", timeBuckets()))
    , connectionsOpened_(
          gauge(registry, "router_upstream_connections_opened", "Connections made to upstreams"))
    , routers_(gauge(registry, "router_routers_in_touch", "Routers in touch, this one among them"))
    , configuration_(gauge(registry, "router_configuration_version", "Version of the configuration in force"))
    , waiting_(gauge(registry, "router_requests_waiting", "Requests that wait at this router's placers"))
    , ownedServices_(gauge(registry, "router_services_placed", "Services whose requests this router places"))
    , coldEngines_(gauge(registry, "router_cold_engines", "Cold engines of the services placed here"))
    , coldAdmitted_(gauge(registry, "router_cold_engine_requests",
          "Requests placed on cold engines in the last second before the report"))
    , directoryAge_(gauge(registry, "router_directory_age_seconds",
          "Time since a read of the upstream directory was applied"))
    , configurationAge_(gauge(registry, "router_configuration_age_seconds",
          "Time since the configuration was confirmed to be the newest"))
    , hub_(gauge(registry, "router_hub", "1 if this router is a hub, otherwise 0"))
    , links_(gauge(registry, "router_links", "Routers that this one is connected to or tries to reach"))
    , silentLinks_(gauge(registry, "router_links_silent", "Of these, routers that are not heard"))
    , roles_(gauge(registry, "router_roles", "Roles that this router holds for the fleet"))
    , schedulerLateTime_(histogram(
          registry, "router_scheduler_late_seconds", "Delay of the scheduler's ticks", stepBuckets()))
    , placingPassTime_(histogram(
          registry, "router_placing_pass_seconds", "Time of one pass that places requests", stepBuckets()))
    , relayLateTime_(
          histogram(registry, "router_relay_late_seconds", "Delay of the relay's ticks", stepBuckets()))
    , callers_(gauge(registry, "router_callers", "Callers' connections"))
    , callerMemory_(gauge(registry, "router_caller_memory_bytes", "Memory held for callers"))
    , callerMemoryLimit_(
          gauge(registry, "router_caller_memory_limit_bytes", "Memory that may be held for callers"))
    , callersClosed_(counters(registry, "router_callers_closed_total",
          "Callers' connections closed by a limit: memory, framing or idle"))
{
}

auto RouterMetrics::requestEnded(std::string_view outcome, Duration time) -> void
{
    requests_->Add(label("outcome", outcome)).Increment();
    requestTime_->Observe(seconds(time));
}

auto RouterMetrics::firstByte(Duration time) -> void { firstByteTime_->Observe(seconds(time)); }

auto RouterMetrics::refused(RefusalReason reason) -> void
{
    refusals_->Add(label("reason", refusalName(reason))).Increment();
}

auto RouterMetrics::attemptEnded(PlacementEnd end) -> void
{
    attempts_->Add(label("end", placementEndName(end))).Increment();
}

auto RouterMetrics::engineQueried(EngineState state) -> void
{
    engineQueries_->Add(label("state", engineStateName(state))).Increment();
}

auto RouterMetrics::storeCall(bool succeeded) -> void
{
    storeCalls_->Add(label("result", succeeded ? "ok" : "failed")).Increment();
}

auto RouterMetrics::upstreamLeaves() -> void { announcements_->Add(label("kind", "leaving")).Increment(); }

auto RouterMetrics::upstreamRests() -> void { announcements_->Add(label("kind", "rest")).Increment(); }

auto RouterMetrics::setWarmup(const Placer::WarmupReport& report) -> void
{
    coldEngines_->Set(double(report.engines));
    coldAdmitted_->Set(double(report.admitted));
}

auto RouterMetrics::setCallerMemory(std::size_t held, std::size_t capacity) -> void
{
    callerMemory_->Set(double(held));
    callerMemoryLimit_->Set(double(capacity));
}

auto RouterMetrics::callerClosed(std::string_view limit) -> void
{
    callersClosed_->Add(label("limit", limit)).Increment();
}

auto RouterMetrics::setAvailability(std::size_t leaving, std::size_t resting, std::size_t evacuated) -> void
{
    leaving_->Set(double(leaving));
    resting_->Set(double(resting));
    evacuated_->Set(double(evacuated));
}

auto RouterMetrics::setDirectoryAge(Duration age) -> void { directoryAge_->Set(seconds(age)); }

auto RouterMetrics::setFleet(const FleetReport& report) -> void
{
    if (report.configurationAge)
        configurationAge_->Set(seconds(*report.configurationAge));
    hub_->Set(report.isHub ? 1 : 0);
    links_->Set(double(report.links.size() + report.linksLeftOut));
    silentLinks_->Set(double(report.silentLinks));
    roles_->Set(double(report.rolesHeld().size()));
}

auto RouterMetrics::schedulerTick(Duration late) -> void { schedulerLateTime_->Observe(seconds(late)); }

auto RouterMetrics::relayTick(Duration late) -> void { relayLateTime_->Observe(seconds(late)); }

auto RouterMetrics::placingPass(Duration time) -> void { placingPassTime_->Observe(seconds(time)); }

} // namespace camphorshunt::router
