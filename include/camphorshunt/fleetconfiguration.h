#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorshunt/ids.h"

namespace camphorshunt {

/** Whether a request may be retried once an upstream may have executed it. */
enum class RequestKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    /** Answered by a stream of events; idempotent only if the route is resumable. */
    Stream,
};

/** A service that receives a part of a route's requests, in proportion to its weight. */
struct RouteTarget {
    ServiceId service;
    std::uint32_t weight = 1;
};

/** Rules for the requests to one host below one path prefix. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /** An interrupted stream may continue at another upstream after its last event. */
    bool resumable = false;
    /** Callers need no key. */
    bool open = false;
    /** Maximum time from the arrival of the request to the end of its answer. */
    std::chrono::milliseconds timeout {};
    /** Latency goal: time to the complete answer, or to a stream's first event; zero if unset. */
    std::chrono::milliseconds goal {};
    /** Zero is the highest priority. */
    std::uint32_t priority = 0;
    /** Maximum number of upstreams to which one request may be sent. */
    std::uint32_t attempts = 1;
    std::vector<RouteTarget> targets;

    /** True if executing a request twice does no harm. */
    auto repeatable() const -> bool
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable);
    }
};

/** What an engine can handle while it is cold. */
struct WarmupLimits {
    /** Zero if the service states no rate: then engines are not treated as cold. */
    double requestsPerSecond = 0;
    /** An engine can handle at most `requestsPerSecond * overshoot + slack` requests in any second. */
    double overshoot = 1;
    double slack = 0;
};

/** Properties of each engine of a model service. */
struct EngineTraits {
    /** Maximum number of requests in one batch. */
    std::uint32_t slots = 1;
    /** Memory for running requests and cached prompt parts, in tokens; if zero,
     * placement ignores memory.
     */
    std::uint64_t memoryTokens = 0;
    /** Tokens of cached prompt that an engine can copy from another per millisecond; zero if it cannot copy.
     */
    double copiedTokensPerMs = 0;
    /** Requests a second that an engine can handle while it is cold; zero if there is no limit. */
    double coldRequestsPerSecond = 0;
};

/** A group of interchangeable upstreams. */
struct ServiceDeclaration {
    std::string name;
    /** Maximum connections to one upstream from all routers together. */
    std::uint32_t maxConnections = 1;
    /** Set for model engines, empty for plain services. */
    std::optional<EngineTraits> engine;

    auto id() const -> ServiceId { return idOf<ServiceId>(name); }
};

struct OrganisationDeclaration {
    std::string name;
    std::vector<std::string> keys;
    /** Takes precedence over the route's priority. */
    std::optional<std::uint32_t> priority;
};

/** Size limits and timeouts of callers' requests. */
struct CallerLimits {
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 4 } * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

/** One version of the complete configuration that operators declare. */
struct FleetConfiguration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceDeclaration> services;
    std::vector<OrganisationDeclaration> organisations;
    CallerLimits limits;
    /** Throughput of all model engines: tokens prefilled plus twice the tokens generated, per second; zero if
     * unset.
     */
    double tokensPerSecond = 0;
};

} // namespace camphorshunt
