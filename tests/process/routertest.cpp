#include "routerfleet.h"

#include <signal.h>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;
using namespace std::chrono_literals;

namespace {

auto without(net::HttpRequest request, std::string_view name) -> net::HttpRequest
{
    std::erase_if(request.headers, [name](const net::HttpHeader& header) { return header.name == name; });
    return request;
}

/** The request as sent on a persistent connection. */
auto requestText(const net::HttpRequest& request) -> std::string
{
    auto text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& header : request.headers)
        text += header.name + ": " + header.value + "\r\n";
    return text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

} // namespace

TEST_CASE("A router forwards requests unchanged, except for the header fields that the fleet sets or removes")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    auto request = RouterFleet::request("book", "POST");
    request.body = "the body";
    for (const auto* const forged :
        { "X-Tenant", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch" })
        request = withHeader(request, forged, "forged");
    const auto answer = call(fleet.router(0).callers, request);
    CHECK(answer.status == 200);
    CHECK(answer.isComplete());
    CHECK(answer.body == "done " + std::string(request.header("X-Attempt-Id")));
    CHECK(!answer.header("X-Response-Signature").empty());
    CHECK(answer.header("X-Attempt-Id") == request.header("X-Attempt-Id"));

    REQUIRE(fleet.totalRuns() == 1);
    const auto index = fleet.runs(2).empty() ? std::size_t { 3 } : std::size_t { 2 };
    const auto run = fleet.runs(index).front();
    CHECK(run.at("method") == "POST");
    CHECK(run.at("target") == "/book/call?x=1");
    CHECK(run.at("body") == "the body");
    CHECK(run.at("X-Tenant") == "acme");
    CHECK(run.at("X-Expect-Instance") == fleet.upstream(index).name);
    CHECK(run.at("Authorization").empty());
    for (const auto* const forged : { "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch" })
        CHECK(run.at(forged).empty());
    const auto left = std::stoi(run.at("X-Deadline-Ms"));
    CHECK(left > 2000);
    CHECK(left <= 3000);
}

TEST_CASE("A router refuses requests that the configuration does not allow, each with its status")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto& callers = fleet.router(0).callers;
    CHECK(call(callers, RouterFleet::request("nowhere")).status == 404);
    CHECK(call(callers, withHeader(RouterFleet::request("plain"), "Host", "other.example")).status == 404);
    CHECK(
        call(callers, withHeader(RouterFleet::request("plain"), "Authorization", "Bearer no")).status == 401);
    CHECK(call(callers, without(RouterFleet::request("plain"), "Authorization")).status == 401);
    CHECK(call(callers, without(RouterFleet::request("open"), "Authorization")).status == 200);
    CHECK(call(callers, without(RouterFleet::request("plain"), "X-Attempt-Id")).status == 400);
    auto longBody = RouterFleet::request("plain", "POST");
    longBody.body = std::string(200000, 'x');
    CHECK(call(callers, longBody).status == 413);
    CHECK(call(callers, withHeader(RouterFleet::request("plain"), "X-Long", std::string(9000, 'x'))).status
        == 431);
    CHECK(fleet.totalRuns() == 1);
}

TEST_CASE("A router without a configuration answers 503 and is not ready until it receives the first one")
{
    auto options = RouterFleet::Options {};
    options.routers = 0;
    auto fleet = RouterFleet(options);
    fleet.put("keyed.op", "config", "");
    auto other = RouterFleet({});
    REQUIRE(other.awaitReady());
    other.router(0).process->kill();
    other.put("keyed.op", "config", "");
    other.startRouter(0);
    REQUIRE(eventually(
        [&] { return call(other.router(0).callers, RouterFleet::request("plain")).status == 503; }));
    CHECK(!other.isReady(0));
    other.putConfiguration(boost::json::serialize(RouterFleet::configuration(3)));
    CHECK(eventually([&] { return other.isReady(0); }, 5s));
    CHECK(call(other.router(0).callers, RouterFleet::request("plain")).status == 200);
}

TEST_CASE("A stream is relayed completely, and a truncated one is resumed only on a resumable route")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto& callers = fleet.router(0).callers;
    const auto whole = call(callers, RouterFleet::stream("stream", 12));
    CHECK(whole.status == 200);
    CHECK(whole.isComplete());
    CHECK(whole.body.find("id: 12\n") != std::string::npos);

    for (auto index = std::size_t { 0 }; index < 2; ++index)
        fleet.fault(index, R"({"mode":"cut","afterEvents":4})");
    CHECK(!call(callers, RouterFleet::stream("stream", 12)).isComplete());

    // The engine that has the prompt cached truncates all streams; the other one resumes them.
    const auto holder = fleet.runs(0).empty() ? std::size_t { 1 } : std::size_t { 0 };
    fleet.fault(1 - holder, R"({"mode":"none"})");
    auto expected = std::string {};
    for (auto id = 1; id <= 12; ++id)
        expected += "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
    const auto resumed = call(callers, RouterFleet::stream("resume", 12));
    CHECK(resumed.isComplete());
    CHECK(resumed.body == expected);
    REQUIRE(fleet.runs(1 - holder).size() == 1);
    CHECK(fleet.runs(1 - holder).back().at("Last-Event-Id") == "4");
}

TEST_CASE(
    "A request that may have run is not retried, and its caller gets no status that promises it has not run")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto fault = GENERATE(as<std::string> {}, "lost-ack", "crossed", "unsigned", "unproved", "error");
    const auto route = GENERATE(as<std::string> {}, "book", "pay");
    for (auto index = std::size_t { 2 }; index < 4; ++index)
        fleet.fault(index, R"({"mode":")" + fault + R"("})");
    const auto answer = call(
        fleet.router(0).callers, withHeader(RouterFleet::request(route, "POST"), "X-Deadline-Ms", "600"));
    INFO(fault << " " << route);
    if (fault == "error") {
        CHECK(answer.status == 500);
        CHECK(!isOwn(answer));
    } else {
        CHECK((answer.status == 502 || answer.status == 504));
        CHECK(isOwn(answer));
    }
    CHECK(fleet.totalRuns() == 1);
}

TEST_CASE("A refusal with proof is passed on as a refusal, and idempotent requests are retried elsewhere "
          "after a failure")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto& callers = fleet.router(0).callers;
    for (auto index = std::size_t { 2 }; index < 4; ++index)
        fleet.fault(index, R"({"mode":"refuse"})");
    const auto refused = call(callers, RouterFleet::request("book", "POST"));
    CHECK(refused.status == 503);
    CHECK(!refused.header("Retry-After").empty());
    CHECK(fleet.totalRuns() == 0);

    fleet.fault(2, R"({"mode":"error"})");
    fleet.fault(3, R"({"mode":"none"})");
    for (auto round = 0; round < 6; ++round)
        CHECK(call(callers, RouterFleet::request("plain")).status == 200);
    fleet.fault(3, R"({"mode":"error"})");
    const auto failed = call(callers, RouterFleet::request("plain"));
    CHECK(failed.status == 500);
    CHECK(!isOwn(failed));
    fleet.fault(2, R"({"mode":"silent"})");
    fleet.fault(3, R"({"mode":"none"})");
    for (auto round = 0; round < 4; ++round)
        CHECK(call(callers, RouterFleet::request("plain")).status == 200);
}

TEST_CASE("A request is cancelled at the engine within half a second after its caller disconnects")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    auto watched = WatchedCall(fleet.router(0).callers, RouterFleet::stream("stream", 1000));
    REQUIRE(watched.waitFor("id: 3\n"));
    REQUIRE(fleet.working(0) + fleet.working(1) == 1);
    watched.cancel();
    const auto left = std::chrono::steady_clock::now();
    CHECK(eventually([&] { return fleet.working(0) + fleet.working(1) == 0; }));
    CHECK(std::chrono::steady_clock::now() - left < 500ms);
    CHECK(fleet.router(0).process->isRunning());
    CHECK(call(fleet.router(0).callers, RouterFleet::request("plain")).status == 200);
}

TEST_CASE("A request is not forwarded if its caller disconnects before the router reads it")
{
    using Tcp = boost::asio::ip::tcp;
    auto options = RouterFleet::Options {};
    options.plain = 1;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    // Leaves an idle connection to the upstream, on which the router would send a request as soon as it is
    // read.
    REQUIRE(call(fleet.router(0).callers, RouterFleet::request("plain")).status == 200);
    const auto before = fleet.totalRuns();

    auto& router = fleet.router(0);
    auto context = boost::asio::io_context {};
    router.process->signal(SIGSTOP);
    for (auto caller = 0; caller < 20; ++caller) {
        auto socket = Tcp::socket(context);
        socket.connect({ boost::asio::ip::make_address(router.callers.address), router.callers.port });
        boost::asio::write(socket, boost::asio::buffer(requestText(RouterFleet::request("plain"))));
    }
    router.process->signal(SIGCONT);

    CHECK(call(router.callers, RouterFleet::request("plain")).status == 200);
    CHECK(fleet.totalRuns() == before + 1);
}

TEST_CASE("A request that no upstream answers gets 504 within half a second after its deadline")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    for (auto index = std::size_t { 2 }; index < 4; ++index)
        fleet.fault(index, R"({"mode":"silent"})");
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = call(
        fleet.router(0).callers, withHeader(RouterFleet::request("book", "POST"), "X-Deadline-Ms", "700"));
    const auto took = std::chrono::steady_clock::now() - begin;
    CHECK(answer.status == 504);
    CHECK(took >= 700ms);
    CHECK(took < 1200ms);
}

TEST_CASE(
    "An upstream gets no more requests once it drains, or once another upstream's entry has its address")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    const auto& callers = fleet.router(0).callers;
    fleet.putUpstream(2, "draining");
    std::this_thread::sleep_for(2s);
    const auto before = fleet.runs(2).size();
    for (auto round = 0; round < 10; ++round)
        CHECK(call(callers, RouterFleet::request("plain")).status == 200);
    CHECK(fleet.runs(2).size() == before);

    // The entry of a third upstream names the address of the first.
    const auto entry = R"({"service":"desk","address":")" + fleet.upstream(2).endpoint.text()
        + R"(","zone":"zone-a","slots":8,"state":"ready","born":5})";
    fleet.put("keyed.servers", "desk-gone", entry);
    std::this_thread::sleep_for(1s);
    for (auto round = 0; round < 10; ++round)
        CHECK(call(callers, RouterFleet::request("book", "POST")).status == 200);
    CHECK(fleet.runs(2).size() == before);
}

TEST_CASE("A router that starts while the store is unreachable gets configuration and upstreams from a peer")
{
    auto options = RouterFleet::Options {};
    options.routers = 3;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    fleet.storeFault(R"({"mode":"refuse"})");
    fleet.router(0).process->kill();
    fleet.startRouter(0);
    CHECK(eventually([&] { return fleet.isReady(0); }, 10s));
    CHECK(call(fleet.router(0).callers, RouterFleet::request("plain")).status == 200);
    CHECK(call(fleet.router(0).callers, RouterFleet::stream("stream", 5)).isComplete());
}

TEST_CASE(
    "A configuration is applied on every router within two seconds, also if the store loses its history")
{
    auto options = RouterFleet::Options {};
    options.routers = 3;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    const auto forgets = GENERATE(false, true);
    auto next = RouterFleet::configuration(9);
    next["tenants"] = boost::json::array { boost::json::object {
        { "name", "acme" }, { "api_keys", boost::json::array { "key-new" } } } };
    fleet.putConfiguration(boost::json::serialize(next));
    if (forgets)
        REQUIRE(post(fleet.store(), "/admin/forget?topic=keyed.op", "").status == 200);
    std::this_thread::sleep_for(2s);
    for (auto index = std::size_t { 0 }; index < 3; ++index) {
        const auto& callers = fleet.router(index).callers;
        CHECK(call(callers, RouterFleet::request("plain")).status == 401);
        CHECK(
            call(callers, withHeader(RouterFleet::request("plain"), "Authorization", "Bearer key-new")).status
            == 200);
    }
}

TEST_CASE("A configuration that is malformed or older than the current one is ignored")
{
    auto fleet = RouterFleet({});
    REQUIRE(fleet.awaitReady());
    fleet.putConfiguration("{\"version\": 50, \"routes\": [{\"name\": 3}]}");
    auto older = RouterFleet::configuration(1);
    older["routes"] = boost::json::array {};
    fleet.putConfiguration(boost::json::serialize(older));
    std::this_thread::sleep_for(1500ms);
    CHECK(call(fleet.router(0).callers, RouterFleet::request("plain")).status == 200);
}

TEST_CASE("A router with many idle callers closes connections after their answer, and serves new ones")
{
    auto options = RouterFleet::Options {};
    options.descriptors = 128;
    auto fleet = RouterFleet(options);
    REQUIRE(fleet.awaitReady());
    const auto& callers = fleet.router(0).callers;
    CHECK(call(callers, RouterFleet::request("plain")).header("Connection").empty());

    auto context = boost::asio::io_context {};
    auto idle = std::vector<boost::asio::ip::tcp::socket> {};
    for (auto index = 0; index < 40; ++index) {
        idle.emplace_back(context);
        idle.back().connect({ boost::asio::ip::make_address(callers.address), callers.port });
    }
    const auto answer = call(callers, RouterFleet::request("plain"));
    CHECK(answer.status == 200);
    CHECK(answer.header("Connection") == "close");
}

TEST_CASE("Invalid settings are refused with exit status 2")
{
    const auto file = "/tmp/routersettings-" + std::to_string(::getpid()) + ".json";
    FILE* const stream = std::fopen(file.c_str(), "w");
    std::fputs("{\"name\": \"r\", \"failureDomain\": \"a\", \"listen\": {}}", stream);
    std::fclose(stream);
    const auto arguments = std::vector<std::string> { "--settings=" + file, "--check" };
    auto process = ChildProcess("camphorshuntrouter", arguments);
    CHECK(process.wait() == 2);
    std::remove(file.c_str());
}
