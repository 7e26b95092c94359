#include "callerconnection.h"

#include <string>
#include <thread>

#include "clock.h"
#include "drivenrelay.h"

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;

/** Longer than the interval at which a relay checks its callers' times. */
constexpr auto sweepTime = 300ms;
constexpr auto head = std::string_view("GET /elsewhere HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n");
const auto request = std::string(head) + "\r\n";

auto limits(std::chrono::milliseconds idle, std::chrono::milliseconds header) -> CallerLimits
{
    auto limits = CallerLimits {};
    limits.idleTimeout = idle;
    limits.headerTimeout = header;
    return limits;
}

auto countOf(std::string_view text, std::string_view part) -> std::size_t
{
    auto count = std::size_t { 0 };
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

/** Runs the relay so that `before` happens after it has seen what is due, and its timer's handler runs next.
 */
template <typename Before> auto runTimerAfter(test::DrivenRelay& driven, Before before) -> void
{
    boost::asio::post(driven.context, before);
    driven.context.poll();
}

/** Connects an idle client to a relay with one route and these limits. */
auto connectIdle(test::DrivenRelay& driven, const CallerLimits& limits = {}) -> Tcp::socket&
{
    driven.configure(test::oneRoute(true, limits));
    driven.connect(1);
    driven.context.poll();
    return driven.clients.front();
}

} // namespace

TEST_CASE("A request that arrived on a kept connection before it is closed as idle is answered")
{
    auto driven = test::DrivenRelay {};
    const auto isConfiguredLater = GENERATE(false, true);
    const auto idle = limits(100ms, 3000ms);
    auto& client = connectIdle(driven, isConfiguredLater ? CallerLimits {} : idle);
    std::this_thread::sleep_for(sweepTime);
    if (isConfiguredLater)
        driven.configure(test::oneRoute(true, idle));
    runTimerAfter(driven, [&client] { test::send(client, request); });
    CHECK(countOf(driven.receive(client, 100ms), "HTTP/1.1 404") == 1);
}

TEST_CASE("A request that arrived on a kept connection before a drain closes it is answered")
{
    auto driven = test::DrivenRelay {};
    auto& client = connectIdle(driven);
    driven.relay->handleMessage(StartDrain { std::chrono::milliseconds(7800) });
    // The time for which new connections are accepted in a drain.
    std::this_thread::sleep_for(3600ms);
    runTimerAfter(driven, [&client] { test::send(client, request); });
    const auto answer = driven.receive(client, 100ms);
    CHECK(countOf(answer, "HTTP/1.1 404") == 1);
    CHECK(countOf(answer, "Connection: close") == 1);
}

TEST_CASE("A request whose rest arrived before the relay looks at its header timeout is not refused as slow")
{
    auto driven = test::DrivenRelay {};
    auto& client = connectIdle(driven, limits(5000ms, 100ms));
    test::send(client, head);
    driven.context.poll();
    std::this_thread::sleep_for(sweepTime);
    runTimerAfter(driven, [&client] { test::send(client, "\r\n"); });
    CHECK(countOf(driven.receive(client, 100ms), "HTTP/1.1 404") == 1);
}

TEST_CASE("Requests that a caller sent together before a drain are all answered")
{
    auto driven = test::DrivenRelay {};
    auto& client = connectIdle(driven);
    driven.relay->handleMessage(StartDrain { std::chrono::milliseconds(7800) });
    test::send(client, request + request + request);
    const auto answers = driven.receive(client, 200ms);
    CHECK(countOf(answers, "HTTP/1.1 404") == 3);
    CHECK(countOf(answers, "Connection: close") == 1);
}

TEST_CASE("An idle connection without input is still closed after its time")
{
    auto driven = test::DrivenRelay {};
    auto& client = connectIdle(driven, limits(100ms, 3000ms));
    std::this_thread::sleep_for(sweepTime);
    driven.context.poll();
    auto byte = char {};
    auto error = boost::system::error_code {};
    client.non_blocking(true);
    client.read_some(boost::asio::buffer(&byte, 1), error);
    CHECK(error == boost::asio::error::eof);
}
