#include "routerfleet.h"

#include <atomic>
#include <functional>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

enum class End { InOrder, Reset };

/**
 * An upstream that answers as soon as it has the head of a request, with bytes that the test gives, and then
 * ends the connection.
 */
class RawUpstream {
public:
    /** Returns the bytes that answer the attempt with this id. */
    using Answer = std::function<std::string(std::string_view attempt)>;

    RawUpstream(Answer answer, End end)
        : answer_(std::move(answer))
        , end_(end)
    {
        constexpr auto receiveBuffer = 4096;
        acceptor_.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }
    ~RawUpstream()
    {
        context_.stop();
        thread_.join();
    }
    RawUpstream(const RawUpstream&) = delete;
    auto operator=(const RawUpstream&) -> RawUpstream& = delete;

    auto entry(std::string_view service) const -> std::string
    {
        auto address = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
        return boost::json::serialize(boost::json::object { { "service", std::string(service) },
            { "address", address }, { "zone", "zone-a" }, { "version", "v1" }, { "slots", 8 },
            { "state", "ready" }, { "cold_remaining_ms", 0 }, { "sequence", 1 }, { "born", 1 } });
    }

    /** Requests answered so far. */
    auto answered() const -> int { return answered_; }

private:
    auto accept() -> void
    {
        acceptor_.async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
            if (!error)
                serve(socket);
            accept();
        });
    }

    auto serve(Tcp::socket& socket) -> void
    {
        constexpr auto field = std::string_view("X-Attempt-Id: ");
        auto request = std::string {};
        auto error = boost::system::error_code {};
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        const auto at = request.find(field);
        if (error || at == std::string::npos)
            return;
        const auto begin = at + field.size();
        asio::write(
            socket, asio::buffer(answer_(request.substr(begin, request.find('\r', begin) - begin))), error);
        ++answered_;
        if (end_ == End::Reset) {
            socket.set_option(asio::socket_base::linger(true, 0), error);
            return;
        }
        socket.shutdown(Tcp::socket::shutdown_send, error);
        for (auto rest = std::string(65536, '\0'); !error;)
            socket.read_some(asio::buffer(rest), error);
    }

    asio::io_context context_;
    Tcp::acceptor acceptor_ { context_, { asio::ip::address_v4::loopback(), 0 } };
    Answer answer_;
    End end_;
    std::atomic<int> answered_ { 0 };
    std::thread thread_;
};

auto request(std::string_view route, std::size_t bodyBytes) -> net::HttpRequest
{
    const auto isStream = route == "stream" || route == "resume";
    auto made = isStream ? RouterFleet::stream(route, 40) : RouterFleet::request(route, "POST");
    made.body.assign(bodyBytes, 'u');
    return made;
}

/** Three upstreams of each service that all answer in the same way, and a router. */
struct RawFleet {
    RawFleet(const RawUpstream::Answer& answer, End end)
        : fleet(withoutUpstreams())
    {
        constexpr auto largestBody = 4000000;
        auto configuration = RouterFleet::configuration(3);
        configuration["limits"].as_object()["max_body_bytes"] = largestBody;
        fleet.putConfiguration(boost::json::serialize(configuration));
        for (const auto* const service : { "model", "desk" }) {
            for (auto number = 0; number < 3; ++number) {
                upstreams.push_back(std::make_unique<RawUpstream>(answer, end));
                const auto name = std::string("raw-") + service + std::to_string(number);
                fleet.put("keyed.servers", name, upstreams.back()->entry(service));
            }
        }
        REQUIRE(fleet.awaitReady());
        REQUIRE(eventually([this] { return fleet.metric(0, "router_configuration_version") == 3; }));
        // A request of each service is refused until the router has read the directory.
        REQUIRE(eventually([this] { return reachesUpstream("plain") && reachesUpstream("stream"); }));
    }

    auto reachesUpstream(std::string_view route) -> bool
    {
        const auto before = answered();
        call(fleet.router(0).callers, request(route, 8));
        return answered() > before;
    }

    auto answered() const -> int
    {
        auto count = 0;
        for (const auto& upstream : upstreams)
            count += upstream->answered();
        return count;
    }

    static auto withoutUpstreams() -> RouterFleet::Options
    {
        auto options = RouterFleet::Options {};
        options.engines = 0;
        options.plain = 0;
        return options;
    }

    std::vector<std::unique_ptr<RawUpstream>> upstreams;
    RouterFleet fleet;
};

auto head(std::string_view status, std::string_view attempt) -> std::string
{
    return "HTTP/1.1 " + std::string(status) + "\r\nX-Attempt-Id: " + std::string(attempt)
        + "\r\nX-Response-Signature: s\r\n";
}

auto events() -> std::string
{
    auto text = std::string {};
    for (auto id = 1; text.size() < 3000; ++id)
        text += "id: " + std::to_string(id) + "\ndata: token\n\n";
    return text;
}

/** What a client receives on one connection for these two requests, of which the first is a HEAD request. */
auto answersAfterHead(const Endpoint& router, const std::string& target) -> std::string
{
    const auto fields = std::string(" HTTP/1.1\r\nHost: fleet.example\r\nAuthorization: Bearer key-acme\r\n"
                                    "X-Deadline-Ms: 3000\r\nX-Attempt-Id: head-then-");
    auto context = asio::io_context {};
    auto socket = Tcp::socket(context);
    socket.connect({ asio::ip::make_address(router.address), router.port });
    asio::write(socket, asio::buffer("HEAD " + target + fields + "one\r\n\r\n"));
    auto received = std::string {};
    asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n");
    asio::write(socket, asio::buffer("GET " + target + fields + "two\r\nConnection: close\r\n\r\n"));
    auto error = boost::system::error_code {};
    asio::read(socket, asio::dynamic_buffer(received), error);
    return received.substr(received.find("\r\n\r\n") + 4);
}

const auto routes = std::vector<std::string> { "plain", "book", "pay", "stream", "resume" };
constexpr auto uploadBytes = std::size_t { 3000000 };
constexpr auto callsPerRoute = 4;

} // namespace

TEST_CASE("No client gets the part of an answer that was reset during its upload as a complete one")
{
    auto raw = RawFleet(
        [](std::string_view attempt) { return head("200 OK", attempt) + "\r\n" + events(); }, End::Reset);
    for (const auto& route : routes) {
        const auto before = raw.answered();
        for (auto number = 0; number < callsPerRoute; ++number) {
            const auto answer = call(raw.fleet.router(0).callers, request(route, uploadBytes));
            CAPTURE(route, answer.status, answer.body.size());
            CHECK((isOwn(answer) || !answer.isComplete()));
        }
        CHECK(raw.answered() > before);
    }
}

TEST_CASE("An answer that is ready during an upload and ends in order reaches its client whole")
{
    auto raw = RawFleet(
        [](std::string_view attempt) { return head("200 OK", attempt) + "\r\n" + events(); }, End::InOrder);
    for (const auto& route : routes) {
        for (auto number = 0; number < callsPerRoute; ++number) {
            const auto answer = call(raw.fleet.router(0).callers, request(route, uploadBytes));
            CAPTURE(route, answer.status);
            CHECK(answer.isComplete());
            CHECK(answer.status == 200);
            CHECK(answer.body == events());
        }
    }
}

/** Checks that clients of all routes get failures of the router itself from upstreams that answer so. */
auto checkOwnFailures(const RawUpstream::Answer& answerTo) -> void
{
    auto raw = RawFleet(answerTo, End::InOrder);
    for (const auto& route : routes) {
        const auto answer = call(raw.fleet.router(0).callers, request(route, 8));
        CAPTURE(route, answer.status);
        CHECK(answer.isComplete());
        CHECK(answer.status >= 500);
        CHECK(isOwn(answer));
    }
}

TEST_CASE("No client gets an answer whose status is 000")
{
    const auto* const body = GENERATE("\r\nwrong", "Content-Length: 5\r\n\r\nwrong",
        "Content-Length: 400000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n");
    CAPTURE(body);
    checkOwnFailures([body](std::string_view attempt) {
        const auto text = head("000 Unknown", attempt) + body;
        return text.ends_with("400000\r\n\r\n") ? text + std::string(400000, 'w') : text;
    });
}

TEST_CASE("No client gets an answer whose head has a line that is no field")
{
    using namespace std::string_literals;
    const auto line = GENERATE("X Bad: 1"s, "X\x01"s + "Bad: 1", "X-Bad: a\0b"s, "X-Bad: a\rb"s);
    CAPTURE(line);
    checkOwnFailures([&line](std::string_view attempt) {
        return head("200 OK", attempt) + line + "\r\nContent-Length: 4\r\n\r\ngood";
    });
}

TEST_CASE("No client gets an answer in a transfer coding other than chunked")
{
    const auto* const coding = GENERATE("gzip", "gzip, chunked", "chunked, gzip");
    const auto* const rest = GENERATE("Content-Length: 4\r\n\r\ngood", "\r\n4\r\ngood\r\n0\r\n\r\n");
    CAPTURE(coding, rest);
    checkOwnFailures([coding, rest](std::string_view attempt) {
        return head("200 OK", attempt) + "Transfer-Encoding: " + coding + "\r\n" + rest;
    });
}

// The bytes of a body behind the head would be taken for the beginning of the next answer.
TEST_CASE("Nothing follows the head that answers a HEAD request but the next answer")
{
    auto raw
        = RawFleet([](std::string_view attempt) { return head("200 OK", attempt) + "\r\n"; }, End::InOrder);
    const auto* const target = GENERATE("/plain/call", "/book/call", "/nowhere/call");
    CAPTURE(target);
    const auto answers = answersAfterHead(raw.fleet.router(0).callers, target);
    CAPTURE(answers);
    CHECK(answers.starts_with("HTTP/1.1 "));
}
