#include "childprocess.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <memory>

#include <signal.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "testclient.h"

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

namespace asio = boost::asio;

constexpr auto sharedKey = std::string_view("shared-key-of-the-peers");
constexpr auto bearerKey = std::string_view("bearer-key-of-a-caller");

/** A daemon with low limits that can reach neither the log nor the VM list. */
class LoneDaemon {
public:
    LoneDaemon()
        : path_(std::filesystem::temp_directory_path() / ("lone-" + std::to_string(::getpid()) + ".json"))
    {
        std::ofstream(path_)
            << R"({"name":"r1","failureDomain":"a","callers":{"listen":"127.0.0.1:0",)"
            << R"("maxConnections":4,"headerBytes":1024,"bodyBytes":1024,"requestTimeoutMs":300},)"
            << R"("admin":{"listen":"127.0.0.1:0"},"peers":{"listen":"127.0.0.1:0","sharedKey":")"
            << sharedKey << R"("},"platform":{"log":"127.0.0.1:1","vms":"127.0.0.1:1"}})";
        const auto arguments
            = std::vector<std::string> { "--settings=" + path_.string(), "--log_level=debug" };
        process = std::make_unique<ChildProcess>("camphorshuntd", arguments);
        const auto line = process->readLine("listening ");
        callers = endpointAfter(line, "callers=");
        peers = endpointAfter(line, "peers=");
    }
    ~LoneDaemon() { std::filesystem::remove(path_); }
    LoneDaemon(const LoneDaemon&) = delete;
    auto operator=(const LoneDaemon&) -> LoneDaemon& = delete;

    std::unique_ptr<ChildProcess> process;
    Endpoint callers;
    Endpoint peers;

private:
    static auto endpointAfter(const std::string& line, std::string_view prefix) -> Endpoint
    {
        const auto begin = line.find(prefix) + prefix.size();
        return Endpoint::parse(line.substr(begin, line.find(' ', begin) - begin), "listening").value();
    }

    std::filesystem::path path_;
};

/** A TCP connection for input that no HTTP client would send. */
class RawConnection {
public:
    explicit RawConnection(const Endpoint& endpoint)
    {
        socket_.connect({ asio::ip::make_address(endpoint.address), endpoint.port });
    }

    auto send(std::string_view bytes) -> void
    {
        auto code = boost::system::error_code {};
        asio::write(socket_, asio::buffer(bytes.data(), bytes.size()), code);
    }

    /** Returns all bytes received until the daemon closes the connection. */
    auto readAll() -> std::string
    {
        auto text = std::string {};
        auto code = boost::system::error_code {};
        asio::read(socket_, asio::dynamic_buffer(text), code);
        return text;
    }

private:
    asio::io_context context_;
    asio::ip::tcp::socket socket_ { context_ };
};

auto answerTo(const Endpoint& endpoint, std::string_view bytes) -> std::string
{
    auto connection = RawConnection(endpoint);
    connection.send(bytes);
    return connection.readAll();
}

auto statusOf(const Endpoint& endpoint) -> std::uint16_t
{
    return call(endpoint, { "POST", "/v1/assistant/chat", {}, "{}" }).status;
}

} // namespace

TEST_CASE(
    "Malformed HTTP, oversized headers and bodies and slow senders are refused, and the daemon keeps serving")
{
    auto daemon = LoneDaemon {};
    CHECK(answerTo(daemon.callers, "no HTTP at all\r\n\r\n").starts_with("HTTP/1.1 400"));
    CHECK(answerTo(
        daemon.callers, "POST /v1/a/b HTTP/1.1\r\nHost: a\r\nLong: " + std::string(2000, 'x') + "\r\n\r\n")
              .starts_with("HTTP/1.1 431"));
    CHECK(answerTo(daemon.callers, "POST /v1/a/b HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n")
              .starts_with("HTTP/1.1 413"));
    CHECK(answerTo(daemon.callers, "POST /v1/a/b HTTP/1.1\r\nHost: a\r\n").find("200") == std::string::npos);
    CHECK(statusOf(daemon.callers) == 503);
    CHECK(daemon.process->isRunning());
}

TEST_CASE("Connections over the limit are refused until others close")
{
    auto daemon = LoneDaemon {};
    auto open = std::vector<std::unique_ptr<RawConnection>> {};
    for (auto count = 0; count < 4; ++count)
        open.push_back(std::make_unique<RawConnection>(daemon.callers));
    const auto over = answerTo(daemon.callers, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK((over.empty() || over.starts_with("HTTP/1.1 503")));
    open.clear();
    CHECK(eventually([&] { return call(daemon.callers, { "GET", "/", {}, {} }).status == 404; }));
}

TEST_CASE("A peer that sends malformed frames is disconnected, and the daemon keeps serving")
{
    auto daemon = LoneDaemon {};
    auto garbage = std::string(4096, '\xff');
    CHECK(answerTo(daemon.peers, garbage).size() < garbage.size());
    CHECK(statusOf(daemon.callers) == 503);
    CHECK(daemon.process->isRunning());
}

TEST_CASE("A daemon's log contains neither bearer keys nor the peers' shared key")
{
    auto daemon = LoneDaemon {};
    const auto request = net::HttpRequest { "POST", "/v1/assistant/chat",
        { { "Authorization", "Bearer " + std::string(bearerKey) } }, "{}" };
    CHECK(call(daemon.callers, request).status == 503);
    answerTo(daemon.peers, std::string(64, '\xff'));
    daemon.process->signal(SIGTERM);
    const auto log = daemon.process->readAll();
    CHECK(daemon.process->wait() == 0);
    CHECK(log.find("event=refused") != std::string::npos);
    CHECK(log.find(bearerKey) == std::string::npos);
    CHECK(log.find(sharedKey) == std::string::npos);
}

TEST_CASE("A daemon with malformed settings exits with code 2")
{
    const auto path
        = std::filesystem::temp_directory_path() / ("bad-" + std::to_string(::getpid()) + ".json");
    for (const auto* const text : { "{", "[]", R"({"name":"r1"})", R"({"name":7})" }) {
        std::ofstream(path, std::ios::trunc) << text;
        auto daemon
            = ChildProcess("camphorshuntd", std::vector<std::string> { "--settings=" + path.string() });
        CHECK(daemon.wait() == 2);
    }
    std::filesystem::remove(path);
}
