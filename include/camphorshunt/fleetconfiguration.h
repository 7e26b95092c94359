#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorshunt/ids.h"

namespace camphorshunt {

/** What may be done with a request after it may have run. */
enum class RequestKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    /** Answered by a series of events; idempotent only where the route is resumable. */
    Stream,
};

/** A service that gets a part of a route's requests, by weight. */
struct RouteTarget {
    ServiceId service;
    std::uint32_t weight = 1;
};

/** Requests of one host below one path prefix. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RequestKind kind = RequestKind::NonIdempotent;
    /** A stream may go on at another upstream after its last event. */
    bool resumable = false;
    /** No key is asked for. */
    bool open = false;
    /** Longest time from the request to the end of its answer. */
    std::chrono::milliseconds timeout {};
    /** Time to the whole answer, or to a stream's first event, within which it is on time; zero if unset. */
    std::chrono::milliseconds goal {};
    /** Zero is the most urgent. */
    std::uint32_t priority = 0;
    /** Most upstreams to which one request may be sent. */
    std::uint32_t attempts = 1;
    std::vector<RouteTarget> targets;

    /** A second run does no harm. */
    auto repeatable() const -> bool
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable);
    }
};

/** What the engines of a model service have, each. */
struct EngineTraits {
    /** Requests in one batch. */
    std::uint32_t slots = 1;
    /** Memory for running requests and kept prompt parts, in tokens. */
    std::uint64_t memoryTokens = 0;
    /** Tokens of kept prompt that one engine copies from another in a millisecond; zero if it can't. */
    double copiedTokensPerMs = 0;
};

/** A group of equal upstreams. */
struct ServiceDeclaration {
    std::string name;
    /** Connections that one upstream takes from all routers together. */
    std::uint32_t maxConnections = 1;
    /** Set for model engines, empty for plain services. */
    std::optional<EngineTraits> engine;

    auto id() const -> ServiceId { return idOf<ServiceId>(name); }
};

struct OrganisationDeclaration {
    std::string name;
    std::vector<std::string> keys;
    /** Goes before the route's. */
    std::optional<std::uint32_t> priority;
};

/** What a caller may send, and how long it may take. */
struct CallerLimits {
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 4 } * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

/** One version of all that operators declare. */
struct FleetConfiguration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceDeclaration> services;
    std::vector<OrganisationDeclaration> organisations;
    CallerLimits limits;
    /** Throughput of all model engines: tokens read, plus twice the tokens generated, a second; zero if
     * unset.
     */
    double tokensPerSecond = 0;
};

} // namespace camphorshunt
