#include "camphorshunt/retrywindow.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace std::chrono_literals;

TEST_CASE("The retries of all routers together stay within the fleet's budget in any window")
{
    constexpr auto routers = std::size_t { 6 };
    auto settings = RetryWindow::Settings { 0.2, 52, 10s };
    auto windows = std::vector<RetryWindow>(routers, RetryWindow(settings));
    for (auto& window : windows)
        window.setRouters(routers);
    auto retries = std::vector<Time> {};
    auto now = Time { 1000s };
    for (auto step = 0; step < 6000; ++step) {
        now += 5ms;
        auto& window = windows[static_cast<std::size_t>(step) % routers];
        window.recordRequest(now);
        if (window.tryAcquire(now))
            retries.push_back(now);
        if (window.tryAcquire(now))
            retries.push_back(now);
    }
    // 200 requests per second.
    for (auto first = std::size_t { 0 }; first < retries.size(); ++first) {
        auto last = first;
        while (last < retries.size() && retries[last] < retries[first] + 10s)
            ++last;
        REQUIRE(double(last - first) <= 0.2 * 2000 + 52);
    }
    CHECK(retries.size() > 600);
}

TEST_CASE("A router without requests may use its part of the burst allowance, and no more")
{
    auto window = RetryWindow({ 0.2, 52, 10s });
    window.setRouters(6);
    const auto now = Time { 1000s };
    auto count = 0;
    while (window.tryAcquire(now))
        ++count;
    CHECK(count >= 4);
    CHECK(count <= 8);
    CHECK(window.tryAcquire(now + 11s));
}
