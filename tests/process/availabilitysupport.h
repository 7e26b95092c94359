#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "routerfleet.h"

namespace camphorshunt::test {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** Time after the answer of a leaving upstream from which none of its router's requests may reach it. */
inline constexpr auto drainTime = Milliseconds(500);
/** Time after the answer of a resting upstream from which its rest is respected. */
inline constexpr auto restGrace = Milliseconds(500);
/** Requests that may reach an upstream during its rest. */
inline constexpr auto maxInRest = 2;
/** Time within which a request that cannot be served is refused. */
inline constexpr auto refusalTime = Milliseconds(400);
/** The first plain upstream of a fleet with two engines. */
inline constexpr auto desk = std::size_t { 2 };

/** The first upstream of a service of a fleet with two engines, and requests for that service. */
struct TestedService {
    std::size_t upstream = 0;
    std::function<net::HttpRequest()> make;
};

auto testedService(bool isModel) -> TestedService;
auto plainRequest() -> net::HttpRequest;
auto shortStream() -> net::HttpRequest;

auto isServed(const Answer& answer) -> bool;
/** Negative if the answer has no such header. */
auto retryAfter(const Answer& answer) -> std::chrono::duration<double>;
/** Sends as many requests at the same time as one upstream can run; returns whether all are served. */
auto sendBurst(const Endpoint& callers, const std::function<net::HttpRequest()>& make) -> bool;

/** A fault that refuses `count` requests with this Retry-After. */
auto restFor(std::string_view time, int count = 1) -> std::string;
auto saidLeaving(RouterFleet& fleet, std::size_t upstream) -> bool;
/** Sends requests until the upstream has answered one of them with the mark that it leaves. */
auto sendUntilLeaving(RouterFleet& fleet, std::size_t router, const TestedService& service) -> bool;
/** Sends requests until one has reached the upstream. */
auto sendUntilArrival(RouterFleet& fleet, const TestedService& service) -> bool;
/** Whether all requests of a second of bursts are served, and none of them reaches the upstream. */
auto isAvoided(RouterFleet& fleet, std::size_t router, const TestedService& service) -> bool;
/** Number of requests that reached the upstream later than `grace` after its first such answer, and before
 * `end`. */
auto arrivalsAfterAnswer(RouterFleet& fleet, std::size_t upstream, Milliseconds grace,
    Milliseconds end = std::chrono::hours(1)) -> int;

} // namespace camphorshunt::test
