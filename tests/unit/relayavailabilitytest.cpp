#include "drivenrelay.h"

#include <map>
#include <set>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace camphorshunt;
using namespace camphorshunt::router;
using namespace std::chrono_literals;

namespace {

using Tcp = boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

/** Answers each request with the next of its heads, and with a plain 200 after these. */
class FakeUpstream {
public:
    FakeUpstream(boost::asio::io_context& context, std::string name)
        : acceptor_(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {
        entry.name = std::move(name);
        entry.service = idOf<ServiceId>("one");
        entry.endpoint = { "127.0.0.1", acceptor_.local_endpoint().port() };
        entry.startedAt = 1000ms;
        accept();
    }

    UpstreamEntry entry;
    /** Status lines and headers. */
    std::vector<std::string> heads;
    std::vector<std::string> requests;

private:
    struct Connection {
        Tcp::socket socket;
        std::string input = {};
    };

    auto accept() -> void
    {
        acceptor_.async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
            if (error)
                return;
            read(std::make_shared<Connection>(Connection { std::move(socket) }));
            accept();
        });
    }

    auto read(const std::shared_ptr<Connection>& connection) -> void
    {
        boost::asio::async_read_until(connection->socket, boost::asio::dynamic_buffer(connection->input),
            "\r\n\r\n", [this, connection](const boost::system::error_code& error, std::size_t size) {
                if (error)
                    return;
                answer(*connection, connection->input.substr(0, size));
                connection->input.erase(0, size);
                read(connection);
            });
    }

    auto answer(Connection& connection, std::string request) -> void
    {
        constexpr auto name = std::string_view("X-Attempt-Id: ");
        const auto begin = request.find(name) + name.size();
        const auto attempt = request.substr(begin, request.find('\r', begin) - begin);
        auto head = std::string("200 OK\r\n");
        if (requests.size() < heads.size())
            head = heads[requests.size()];
        requests.push_back(std::move(request));
        boost::asio::write(connection.socket,
            boost::asio::buffer("HTTP/1.1 " + head + "X-Attempt-Id: " + attempt
                + "\r\nX-Response-Signature: s\r\nContent-Length: 0\r\n\r\n"));
    }

    Tcp::acceptor acceptor_;
};

constexpr auto leavingHead = "200 OK\r\nServer-Leaving: 1\r\n";

auto restingHead(std::string_view seconds) -> std::string
{
    return "503 Service Unavailable\r\nX-Not-Executed: 1\r\nRetry-After: " + std::string(seconds) + "\r\n";
}

/** A relay with one plain service and upstreams that the test scripts. */
struct Site {
    explicit Site(std::size_t count, std::chrono::milliseconds goal = 0ms)
    {
        route.name = "route";
        route.host = "a.example";
        route.pathPrefix = "/x/";
        route.kind = RequestKind::Idempotent;
        route.timeout = 3000ms;
        route.goal = goal;
        route.attempts = 3;
        route.open = true;
        route.targets = { { idOf<ServiceId>("one"), 1 } };
        for (auto index = std::size_t { 0 }; index < count; ++index)
            upstreams.push_back(std::make_unique<FakeUpstream>(driven.context, "u" + std::to_string(index)));
        listUpstreams();
    }

    auto listUpstreams() -> void
    {
        auto configuration = FleetConfiguration {};
        configuration.version = 1;
        configuration.routes = { route };
        configuration.services = { { "one", 10, engines } };
        auto list = UpstreamList {};
        for (const auto& upstream : upstreams)
            list.push_back(upstream->entry);
        driven.relay->handleMessage(FleetChanged { RouteTable::build(std::move(configuration)),
            std::make_shared<const UpstreamList>(std::move(list)), 1, {} });
    }

    /** Returns the head of the answer to one request. */
    auto ask() -> std::string
    {
        auto socket = send();
        return receive(socket);
    }

    auto send() -> Tcp::socket
    {
        auto socket = Tcp::socket(driven.clientContext);
        socket.connect({ driven.loopback, driven.port });
        boost::asio::write(socket,
            boost::asio::buffer("GET /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id"
                + std::to_string(asked++) + "\r\nX-Deadline-Ms: 3000\r\n\r\n"));
        socket.non_blocking(true);
        return socket;
    }

    auto receive(Tcp::socket& socket) -> std::string
    {
        auto head = std::string {};
        const auto end = Clock::now() + 4s;
        while (head.find("\r\n\r\n") == std::string::npos && Clock::now() < end) {
            driven.context.run_one_for(5ms);
            auto bytes = std::array<char, 1024> {};
            auto error = boost::system::error_code {};
            head.append(bytes.data(), socket.read_some(boost::asio::buffer(bytes), error));
        }
        return head;
    }

    auto runFor(std::chrono::milliseconds time) -> void { driven.context.run_for(time); }

    test::DrivenRelay driven { 100 };
    Route route;
    /** Set if the service is a model service. */
    std::optional<EngineTraits> engines;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams;
    int asked = 0;
};

auto retryAfterOf(const std::string& head) -> double
{
    constexpr auto name = std::string_view("Retry-After: ");
    const auto found = head.find(name);
    return found == std::string::npos ? -1 : std::stod(head.substr(found + name.size()));
}

} // namespace

TEST_CASE("After an answer that says so, a router sends no request to the upstream that leaves")
{
    for (const std::string status : { "200 OK", "404 Not Found", "500 Internal Server Error",
             "503 Service Unavailable\r\nX-Not-Executed: 1" }) {
        CAPTURE(status);
        auto site = Site(2);
        auto& leaving = *site.upstreams[0];
        leaving.heads = { status + "\r\nServer-Leaving: 1\r\n" };
        for (auto round = 0; round < 20; ++round) {
            if (round % 5 == 0)
                site.listUpstreams();
            CHECK(site.ask().starts_with("HTTP/1.1 "));
        }
        CHECK(leaving.requests.size() == 1);
    }
}

TEST_CASE("A new process under the name of an upstream that left gets requests")
{
    auto site = Site(1);
    site.upstreams[0]->heads = { leavingHead };
    CHECK(site.ask().starts_with("HTTP/1.1 200"));
    site.upstreams[0]->entry.startedAt += 1ms;
    site.listUpstreams();
    CHECK(site.ask().starts_with("HTTP/1.1 200"));
}

TEST_CASE("If all upstreams leave, requests are refused at once with a time to retry")
{
    auto site = Site(2);
    for (const auto& upstream : site.upstreams)
        upstream->heads = { leavingHead };
    site.ask();
    site.ask();
    const auto begun = Clock::now();
    const auto head = site.ask();
    CHECK(head.starts_with("HTTP/1.1 503"));
    CHECK(retryAfterOf(head) >= 1);
    CHECK(Clock::now() - begun < 500ms);
    CHECK(site.upstreams[0]->requests.size() + site.upstreams[1]->requests.size() == 2);
}

TEST_CASE("An upstream that wants rest gets no request until the end, and is not taken for ill")
{
    auto site = Site(2);
    auto& resting = *site.upstreams[0];
    resting.heads = { restingHead("0.6") };
    while (resting.requests.empty())
        CHECK(site.ask().starts_with("HTTP/1.1 200"));
    const auto rested = Clock::now() + 600ms;
    while (Clock::now() < rested - 20ms) {
        CHECK(site.ask().starts_with("HTTP/1.1 200"));
        CHECK(resting.requests.size() == 1);
        site.runFor(20ms);
    }
    site.runFor(60ms);
    for (auto round = 0; round < 10; ++round)
        site.ask();
    CHECK(resting.requests.size() > 1);
}

TEST_CASE("If all upstreams rest, requests wait that can be served in time")
{
    auto site = Site(1);
    auto& resting = *site.upstreams[0];
    resting.heads = { restingHead("0.4") };
    const auto begun = Clock::now();
    const auto head = site.ask();
    CHECK(head.starts_with("HTTP/1.1 200"));
    CHECK(Clock::now() - begun >= 400ms);
    CHECK(Clock::now() - begun < 1000ms);
    CHECK(resting.requests.size() == 2);
}

TEST_CASE("If all upstreams rest for too long, requests are refused at once until the first has rested")
{
    for (const auto& [first, second] : { std::pair("2.5", "60"), std::pair("60", "2.5") }) {
        auto site = Site(2, 1000ms);
        site.upstreams[0]->heads = { restingHead(first) };
        site.upstreams[1]->heads = { restingHead(second) };
        auto times = std::set<double> {};
        for (auto round = 0; round < 10; ++round) {
            const auto begun = Clock::now();
            const auto head = site.ask();
            CHECK(head.starts_with("HTTP/1.1 503"));
            CHECK(Clock::now() - begun < 500ms);
            CHECK(retryAfterOf(head) > 2);
            CHECK(retryAfterOf(head) < 3);
            times.insert(retryAfterOf(head));
        }
        CHECK(times.size() > 3);
        CHECK(site.upstreams[0]->requests.size() == 1);
        CHECK(site.upstreams[1]->requests.size() == 1);
    }
}

TEST_CASE("An upstream whose Retry-After is malformed is not left alone without end")
{
    for (const auto* const value : { "soon", "-5", "inf", "" }) {
        CAPTURE(value);
        auto site = Site(1);
        site.upstreams[0]->heads = { restingHead(value) };
        site.ask();
        site.runFor(300ms);
        CHECK(site.ask().starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("What another upstream at the address says doesn't concern the one that was meant")
{
    for (const std::string head : { "421 Misdirected Request\r\nServer-Leaving: 1\r\n",
             "503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Instance-Id: other\r\nServer-Leaving: "
             "1\r\n" }) {
        CAPTURE(head);
        auto site = Site(1);
        site.upstreams[0]->heads = { head };
        site.ask();
        CHECK(site.ask().starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("A router that learns from another one that an upstream leaves sends nothing there")
{
    auto site = Site(2);
    auto& leaving = *site.upstreams[0];
    site.driven.relay->handleMessage(UpstreamLeaves { leaving.entry.process() });
    site.listUpstreams();
    for (auto round = 0; round < 10; ++round)
        CHECK(site.ask().starts_with("HTTP/1.1 200"));
    CHECK(leaving.requests.empty());
}

TEST_CASE("A place at an engine that leaves, decided before the placer knew, is given back")
{
    auto site = Site(2);
    site.engines = EngineTraits { 4, 0, 0 };
    site.listUpstreams();
    auto& leaving = *site.upstreams[0];
    auto& staying = *site.upstreams[1];
    const auto decide = [&](std::uint64_t number, const FakeUpstream& upstream) {
        while (site.driven.relay->requestsInProgress() == 0)
            site.runFor(1ms);
        site.driven.relay->handleMessage(PlacementDecided {
            { number, idOf<ServiceId>("one"), upstream.entry.id(), leaving.entry.id(), {}, 0ms, {} } });
    };
    // Leaves a connection to the engine that can be used again at once.
    auto first = site.send();
    decide(1, leaving);
    CHECK(site.receive(first).starts_with("HTTP/1.1 200"));
    REQUIRE(leaving.requests.size() == 1);

    site.driven.relay->handleMessage(UpstreamLeaves { leaving.entry.process() });
    auto second = site.send();
    decide(2, leaving);
    site.runFor(50ms);
    CHECK(leaving.requests.size() == 1);
    decide(2, staying);
    CHECK(site.receive(second).starts_with("HTTP/1.1 200"));
    REQUIRE(staying.requests.size() == 1);
    CHECK(staying.requests[0].find("Kv-Fetch") == std::string::npos);
    CHECK(leaving.requests.size() == 1);
}
