#include "routerfleet.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <map>
#include <random>
#include <thread>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto soakTime = 10s;
constexpr auto callers = std::size_t { 12 };
/** A request that crosses the close of its connection ends no later than this after it was sent. */
constexpr auto maxCrossing = 200ms;
/** Environment variable with the seed. */
constexpr auto seedVariable = "CAMPHORSHUNT_SOAK_SEED";
constexpr auto defaultSeed = std::uint64_t { 1 };

auto seedOfRun() -> std::uint64_t
{
    const auto* const text = std::getenv(seedVariable);
    return text == nullptr ? defaultSeed : std::strtoull(text, nullptr, 10);
}

/** One request and what its caller got. */
struct Record {
    std::string attempt;
    std::string route;
    Answer answer;
    Clock::duration time {};
};

/** Makes requests one after another, most of them on connections that are kept. */
class Caller {
public:
    Caller(RouterFleet& fleet, std::uint64_t seed)
        : fleet_(fleet)
        , random_(seed)
        , client_(net::HttpClient::create(context_, 4, 10s))
    {
    }

    auto run(Clock::time_point end) -> void
    {
        constexpr auto routes = std::array { "plain", "book", "pay", "stream", "resume" };
        while (Clock::now() < end) {
            const auto* const route = routes[random_() % routes.size()];
            const auto isStream = std::string_view(route) == "stream" || std::string_view(route) == "resume";
            auto request = isStream ? RouterFleet::stream(route, 20) : RouterFleet::request(route, "POST");
            makeCall(route, std::move(request));
            std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 200));
        }
    }

    auto records() const -> const std::vector<Record>& { return records_; }

private:
    auto makeCall(std::string_view route, net::HttpRequest request) -> void
    {
        auto record = Record {};
        record.route = route;
        record.attempt = net::headerValue(request.headers, "X-Attempt-Id");
        auto spec = net::HttpCallSpec {};
        spec.endpoint = fleet_.router(random_() % 2).callers;
        spec.request = std::move(request);
        spec.freshConnection = random_() % 4 == 0;
        auto ended = false;
        auto handlers = net::HttpCallHandlers {};
        handlers.onHead = [&](const net::HttpResponseHead& head) {
            record.answer.status = head.status;
            record.answer.headers = head.headers;
        };
        handlers.onBody = [&](std::string_view bytes) { record.answer.body += bytes; };
        handlers.onEnd = [&](net::HttpCallEnd end) {
            record.answer.end = end;
            ended = true;
        };
        const auto begin = Clock::now();
        const auto call = client_->start(std::move(spec), std::move(handlers));
        while (!ended) {
            context_.restart();
            context_.run_one_for(100ms);
        }
        record.time = Clock::now() - begin;
        records_.push_back(std::move(record));
    }

    RouterFleet& fleet_;
    std::mt19937_64 random_;
    boost::asio::io_context context_;
    std::unique_ptr<net::HttpClient> client_;
    std::vector<Record> records_;
};

/** A configuration in which all routes that callers use, and their key, are the same. */
auto nextConfiguration(std::uint64_t version, std::mt19937_64& random) -> std::string
{
    namespace json = boost::json;
    auto made = RouterFleet::configuration(version);
    auto& routes = made["routes"].as_array();
    for (auto& route : routes)
        route.as_object()["timeout_ms"] = 4000 + random() % 16000;
    if (random() % 2 == 0)
        routes.pop_back();
    made["limits"].as_object()["idle_timeout_ms"] = random() % 2 == 0 ? 150 : 4000;
    auto& keys = made["tenants"].as_array()[0].as_object()["api_keys"].as_array();
    if (random() % 2 == 0)
        keys.push_back(json::value("key-" + std::to_string(version)));
    return json::serialize(made);
}

/** Changes configurations, restarts a router and stops engines for a while, until the end. */
auto disturb(RouterFleet& fleet, std::mt19937_64& random, Clock::time_point end) -> void
{
    auto changes = std::thread([&fleet, end, seed = random()] {
        auto own = std::mt19937_64(seed);
        for (auto version = std::uint64_t { 3 }; Clock::now() < end; ++version) {
            fleet.putConfiguration(nextConfiguration(version, own));
            std::this_thread::sleep_for(std::chrono::milliseconds(200 + own() % 600));
        }
    });
    auto freezes = std::thread([&fleet, end, seed = random()] {
        auto own = std::mt19937_64(seed);
        while (Clock::now() + 1200ms < end) {
            auto& process = *fleet.upstream(own() % 6).process;
            process.signal(SIGSTOP);
            std::this_thread::sleep_for(1200ms);
            process.signal(SIGCONT);
            std::this_thread::sleep_for(std::chrono::milliseconds(own() % 500));
        }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(500 + random() % 1500));
    auto& process = *fleet.router(1).process;
    process.signal(SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(random() % 1000));
    process.signal(SIGTERM);
    process.wait();
    fleet.startRouter(1);
    changes.join();
    freezes.join();
}

} // namespace

TEST_CASE("Planned work that overlaps with silent engines loses no request and runs no payment twice")
{
    const auto seed = seedOfRun();
    INFO("seed " << seed);
    auto random = std::mt19937_64(seed);
    auto options = RouterFleet::Options {};
    options.routers = 2;
    options.engines = 6;
    options.engineFlags = { "--slots=8", "--token_ms=10" };
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    const auto end = Clock::now() + soakTime;
    auto made = std::vector<std::unique_ptr<Caller>> {};
    auto threads = std::vector<std::thread> {};
    for (auto index = std::size_t { 0 }; index < callers; ++index) {
        made.push_back(std::make_unique<Caller>(fleet, random()));
        threads.emplace_back([caller = made.back().get(), end] { caller->run(end); });
    }
    disturb(fleet, random, end);
    for (auto& thread : threads)
        thread.join();

    auto runs = std::map<std::string, std::size_t> {};
    for (auto index = std::size_t { 0 }; index < options.engines + options.plain; ++index) {
        for (const auto& run : fleet.runs(index))
            ++runs[run.at("X-Attempt-Id")];
    }
    auto served = std::size_t { 0 };
    auto total = std::size_t { 0 };
    for (const auto& caller : made) {
        for (const auto& record : caller->records()) {
            const auto& answer = record.answer;
            if (answer.end == net::HttpCallEnd::NotSent)
                continue;
            ++total;
            const auto count = runs[record.attempt];
            INFO(record.route << " " << record.attempt << ": status " << answer.status << ", end "
                              << int(answer.end) << ", after ms "
                              << std::chrono::duration_cast<std::chrono::milliseconds>(record.time).count()
                              << ", runs " << count << ", " << answer.body);
            const auto isResumable = record.route == "plain" || record.route == "resume";
            CHECK((isResumable || count <= 1));
            if (!answer.isComplete()) {
                // The request crossed the close of its connection.
                CHECK(answer.status == 0);
                CHECK(count == 0);
                CHECK(record.time < maxCrossing);
                continue;
            }
            CHECK((answer.status == 200 || answer.status == 429 || answer.status >= 500));
            if (answer.status == 429 || answer.status == 503)
                CHECK((isResumable || count == 0));
            served += answer.status == 200 ? 1 : 0;
        }
    }
    INFO(served << " of " << total << " served");
    CHECK(total > 100);
    CHECK(served * 2 > total);
}
