#include "availabilitysupport.h"

#include <algorithm>
#include <thread>

#include <catch2/catch.hpp>

namespace camphorshunt::test {

namespace {

constexpr auto burstRequests = std::size_t { 8 };
constexpr auto learningTime = std::chrono::seconds(10);

} // namespace

auto plainRequest() -> net::HttpRequest { return RouterFleet::request("plain"); }

auto shortStream() -> net::HttpRequest { return RouterFleet::stream("stream", 3); }

auto testedService(bool isModel) -> TestedService
{
    return isModel ? TestedService { 0, shortStream } : TestedService { desk, plainRequest };
}

auto isServed(const Answer& answer) -> bool
{
    return answer.status == 200 && answer.isComplete() && !isOwn(answer);
}

auto retryAfter(const Answer& answer) -> std::chrono::duration<double>
{
    const auto text = std::string(answer.header("Retry-After"));
    return std::chrono::duration<double>(text.empty() ? -1.0 : std::stod(text));
}

auto sendBurst(const Endpoint& callers, const std::function<net::HttpRequest()>& make) -> bool
{
    auto calls = std::vector<std::future<Answer>> {};
    for (auto index = std::size_t { 0 }; index < burstRequests; ++index)
        calls.push_back(callAsync(callers, make()));
    auto served = std::size_t { 0 };
    for (auto& each : calls)
        served += isServed(each.get()) ? 1 : 0;
    return served == burstRequests;
}

auto restFor(std::string_view time, int count) -> std::string
{
    return R"({"mode":"rest","retryAfter":")" + std::string(time) + R"(","count":)" + std::to_string(count)
        + "}";
}

auto saidLeaving(RouterFleet& fleet, std::size_t upstream) -> bool
{
    return std::ranges::any_of(
        fleet.arrivals(upstream), [](const RouterFleet::Arrival& arrival) { return arrival.leaving; });
}

auto sendUntilLeaving(RouterFleet& fleet, std::size_t router, const TestedService& service) -> bool
{
    const auto sends = [&] {
        sendBurst(fleet.router(router).callers, service.make);
        return saidLeaving(fleet, service.upstream);
    };
    return eventually(sends, learningTime);
}

auto sendUntilArrival(RouterFleet& fleet, const TestedService& service) -> bool
{
    const auto sends = [&] {
        sendBurst(fleet.router(0).callers, service.make);
        return !fleet.arrivals(service.upstream).empty();
    };
    return eventually(sends, learningTime);
}

auto isAvoided(RouterFleet& fleet, std::size_t router, const TestedService& service) -> bool
{
    const auto before = fleet.arrivals(service.upstream).size();
    auto allServed = true;
    for (const auto end = Clock::now() + std::chrono::seconds(1); Clock::now() < end;)
        allServed = sendBurst(fleet.router(router).callers, service.make) && allServed;
    const auto reached = fleet.arrivals(service.upstream).size() - before;
    UNSCOPED_INFO(reached << " requests reached the upstream, all served: " << allServed);
    return allServed && reached == 0;
}

auto arrivalsAfterAnswer(RouterFleet& fleet, std::size_t upstream, Milliseconds grace, Milliseconds end)
    -> int
{
    const auto arrivals = fleet.arrivals(upstream);
    const auto answered
        = std::ranges::find_if(arrivals, [](const auto& each) { return each.leaving || each.status == 503; });
    REQUIRE(answered != arrivals.end());
    const auto isCounted = [&](const auto& each) {
        return each.at >= answered->answeredAt + grace.count()
            && each.at < answered->answeredAt + end.count();
    };
    return static_cast<int>(std::ranges::count_if(arrivals, isCounted));
}

} // namespace camphorshunt::test
