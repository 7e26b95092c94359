#include "routerfleet.h"

#include <chrono>
#include <csignal>
#include <thread>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

constexpr auto events = std::size_t { 40 };
const auto slowTokens = std::vector<std::string> { "--slots=8", "--token_ms=20" };

/** Stops the processes of these upstreams for a while. */
auto silence(RouterFleet& fleet, std::size_t first, std::size_t count, std::chrono::milliseconds time) -> void
{
    for (auto index = first; index < first + count; ++index)
        fleet.upstream(index).process->signal(SIGSTOP);
    std::this_thread::sleep_for(time);
    for (auto index = first; index < first + count; ++index)
        fleet.upstream(index).process->signal(SIGCONT);
}

auto eventsUpTo(std::size_t last) -> std::string
{
    auto text = std::string {};
    for (auto id = std::size_t { 1 }; id <= last; ++id)
        text += "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
    return text;
}

auto isWhole(const Answer& answer) -> bool
{
    return answer.status == 200 && answer.isComplete() && answer.body == eventsUpTo(events);
}

/** The engine that works on the only stream. */
auto holderOf(RouterFleet& fleet) -> std::size_t { return fleet.working(0) > 0 ? 0 : 1; }

} // namespace

TEST_CASE("A stream whose engine falls silent for a while is not cut if no other engine takes it")
{
    auto options = RouterFleet::Options {};
    options.engineFlags = slowTokens;
    const auto hasOtherEngine = GENERATE(false, true);
    options.engines = hasOtherEngine ? 2 : 1;
    options.retrySpare = hasOtherEngine ? 0 : 50;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto stream = callAsync(fleet.router(0).callers, RouterFleet::stream("resume", events));
    std::this_thread::sleep_for(200ms);
    silence(fleet, 0, options.engines, 1500ms);
    const auto answer = stream.get();
    INFO(answer.status << " " << answer.body);
    CHECK(isWhole(answer));
    CHECK(fleet.totalRuns() == 1);
}

TEST_CASE("A repeatable request whose upstream falls silent for a while is answered if no other one takes it")
{
    auto options = RouterFleet::Options {};
    options.plain = 1;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    fleet.fault(2, R"({"mode":"slow","delayMs":1500})");
    const auto answer = call(fleet.router(0).callers, RouterFleet::request("plain"));
    CHECK(answer.status == 200);
    CHECK(!isOwn(answer));
}

TEST_CASE("Streams are not cut when all engines fall silent for a while beside a change of the configuration")
{
    auto options = RouterFleet::Options {};
    options.engines = 4;
    options.routers = 2;
    options.engineFlags = slowTokens;
    options.retrySpare = 4;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto streams = std::vector<std::future<Answer>> {};
    for (auto index = std::size_t { 0 }; index < 16; ++index)
        streams.push_back(callAsync(fleet.router(index % 2).callers, RouterFleet::stream("resume", events)));
    std::this_thread::sleep_for(200ms);
    fleet.putConfiguration(boost::json::serialize(RouterFleet::configuration(3)));
    silence(fleet, 0, options.engines, 1400ms);
    auto whole = 0;
    for (auto& stream : streams)
        whole += isWhole(stream.get()) ? 1 : 0;
    CHECK(whole == 16);
}

TEST_CASE(
    "A stream whose engine falls silent for a while is not cut if the engine that is to take it does not")
{
    auto options = RouterFleet::Options {};
    options.engineFlags = slowTokens;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto stream = WatchedCall(fleet.router(0).callers, RouterFleet::stream("resume", events));
    REQUIRE(stream.waitFor("token 3"));
    const auto holder = holderOf(fleet);
    const auto other = std::size_t { 1 } - holder;
    SECTION("it refuses") { fleet.fault(other, R"({"mode":"refuse"})"); }
    SECTION("it fails") { fleet.fault(other, R"({"mode":"error"})"); }
    SECTION("it breaks off") { fleet.fault(other, R"({"mode":"lost-ack"})"); }
    SECTION("it is gone") { fleet.upstream(other).process->kill(); }
    silence(fleet, holder, 1, 1500ms);
    CHECK(isWhole(stream.finish()));
}

TEST_CASE(
    "A repeatable request whose upstream falls silent for a while is answered if the other one refuses it")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    fleet.fault(2, R"({"mode":"slow","delayMs":1500})");
    fleet.fault(3, R"({"mode":"refuse"})");
    for (auto count = 0; count < 4; ++count) {
        const auto answer = call(fleet.router(0).callers, RouterFleet::request("plain"));
        CHECK(answer.status == 200);
        CHECK(!isOwn(answer));
    }
}

TEST_CASE("A new stream is served soon after all engines were silent for a while, though streams still run")
{
    auto options = RouterFleet::Options {};
    options.engines = 2;
    options.engineFlags = { "--slots=8", "--token_ms=100" };
    options.retrySpare = 4;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto streams = std::vector<std::future<Answer>> {};
    for (auto index = std::size_t { 0 }; index < 8; ++index)
        streams.push_back(callAsync(fleet.router(0).callers,
            withHeader(RouterFleet::stream("resume", 100), "X-Deadline-Ms", "20000")));
    std::this_thread::sleep_for(500ms);
    silence(fleet, 0, options.engines, 1400ms);
    CHECK(eventually(
        [&fleet] {
            const auto answer = call(fleet.router(0).callers, RouterFleet::stream("resume", 2));
            return answer.status == 200 && answer.isComplete();
        },
        1s));
    for (auto& stream : streams)
        CHECK(stream.get().body == eventsUpTo(100));
}

TEST_CASE("A stream whose engine stays silent is resumed at another engine before its caller gives up")
{
    constexpr auto longStream = std::size_t { 400 };
    auto options = RouterFleet::Options {};
    options.engineFlags = slowTokens;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    auto stream = WatchedCall(fleet.router(0).callers,
        withHeader(RouterFleet::stream("resume", longStream), "X-Deadline-Ms", "20000"));
    REQUIRE(stream.waitFor("token 3"));
    const auto holder = holderOf(fleet);
    const auto other = std::size_t { 1 } - holder;
    fleet.upstream(holder).process->signal(SIGSTOP);
    CHECK(eventually([&fleet, other] { return fleet.working(other) == 1; }, 2s));
    fleet.upstream(holder).process->signal(SIGCONT);
    CHECK(eventually([&fleet, holder] { return fleet.working(holder) == 0; }, 2s));
    const auto answer = stream.finish();
    CHECK(answer.isComplete());
    CHECK(answer.body == eventsUpTo(longStream));
    CHECK(fleet.totalRuns() == 2);
}
