#include "routerfleet.h"

#include <array>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <sys/socket.h>

using namespace camphorshunt;
using namespace camphorshunt::test;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr auto mebibyte = std::size_t { 1024 } * 1024;
constexpr auto headerLimit = std::size_t { 8 } * 1024;
constexpr auto bodyLimit = mebibyte;
/** Of the router's VM, in megabytes; its process must not use more. */
constexpr auto memoryMegabytes = std::size_t { 64 };
/** Of the process: its VM's limit, which the tests lower. */
constexpr auto descriptors = std::size_t { 512 };
/** Bytes that one caller sends at most, far above all limits. */
constexpr auto maxSent = 8 * mebibyte;
constexpr auto crowd = std::size_t { 24 };
/** Callers whose bodies within the limit are together far larger than the VM's memory. */
constexpr auto largeCrowd = std::size_t { 160 };
constexpr auto head = std::string_view("POST /plain/call HTTP/1.1\r\nHost: fleet.example\r\n"
                                       "X-Attempt-Id: untrusted\r\nAuthorization: Bearer key-acme\r\n");
constexpr auto chunkedHead = std::string_view("Transfer-Encoding: chunked\r\n\r\n");

/** A caller that keeps its connection open and sends what it likes. */
class UntrustedCaller {
public:
    explicit UntrustedCaller(const Endpoint& router)
        : socket_(context())
    {
        auto error = boost::system::error_code {};
        socket_.connect({ boost::asio::ip::make_address(router.address), router.port }, error);
        const auto timeout = timeval { 2, 0 };
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    }

    /** Sends all of it unless the connection ends or is read no more; returns whether all was sent. */
    auto send(std::string_view bytes) -> bool
    {
        while (!bytes.empty()) {
            const auto sent = ::send(socket_.native_handle(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /** Sends the same bytes again and again, up to the limit. */
    auto sendEndlessly(const std::string& bytes, std::size_t limit = maxSent) -> void
    {
        auto block = std::string {};
        while (block.size() < std::size_t { 64 } * 1024)
            block += bytes;
        for (auto sent = std::size_t { 0 }; sent < limit && send(block);)
            sent += block.size();
    }

private:
    static auto context() -> boost::asio::io_context&
    {
        static auto instance = boost::asio::io_context {};
        return instance;
    }

    Tcp::socket socket_;
};

auto chunkOf(std::size_t bytes) -> std::string
{
    auto text = std::array<char, 20> {};
    const auto size = std::snprintf(text.data(), text.size(), "%zx\r\n", bytes);
    return std::string(text.data(), static_cast<std::size_t>(size)) + std::string(bytes, 'x') + "\r\n";
}

/** A router on a small VM, with lowered limits. */
struct SmallRouter {
    SmallRouter()
        : fleet({ .routers = 1,
            .engines = 1,
            .plain = 1,
            .descriptors = descriptors,
            .memoryMegabytes = memoryMegabytes })
    {
        auto configuration = RouterFleet::configuration(3);
        configuration["limits"]
            = boost::json::object { { "max_header_bytes", headerLimit }, { "max_body_bytes", bodyLimit },
                  { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 }, { "tokens_per_s", 100000 } };
        fleet.putConfiguration(boost::json::serialize(configuration));
        REQUIRE(fleet.awaitReady());
        REQUIRE(eventually([this] { return fleet.metric(0, "router_configuration_version") == 3; }));
    }

    auto callers() -> const Endpoint& { return fleet.router(0).callers; }

    auto add(std::string_view text = {}) -> UntrustedCaller&
    {
        connections.push_back(std::make_unique<UntrustedCaller>(callers()));
        connections.back()->send(text);
        return *connections.back();
    }

    /** What must hold once the untrusted callers have sent all, and while their connections are open. */
    auto checkBounds() -> void
    {
        auto& process = *fleet.router(0).process;
        REQUIRE(process.isRunning());
        CHECK(process.peakMemory() <= memoryMegabytes * mebibyte);
        CHECK(process.openDescriptors() <= descriptors);
        CHECK(eventually([this] { return call(callers(), RouterFleet::request("plain")).status == 200; }));
        CHECK(process.isRunning());
        CHECK(process.peakMemory() <= memoryMegabytes * mebibyte);
    }

    RouterFleet fleet;
    std::vector<std::unique_ptr<UntrustedCaller>> connections;
};

} // namespace

TEST_CASE("Trailers, chunk extensions and chunk sizes without end don't use up a router's memory", "[alone]")
{
    struct Form {
        const char* name;
        std::string start;
        std::string endless;
    };
    const auto form = GENERATE(Form { "trailer lines", "5\r\nhello\r\n0\r\n", "X-Trailer: value\r\n" },
        Form { "one trailer line", "5\r\nhello\r\n0\r\nX-Trailer: ", "value" },
        Form { "one chunk extension", "5;name=", "value" },
        Form { "chunk extensions", "", "1;name=" + std::string(4000, 'v') + "\r\nx\r\n" },
        Form { "zeros of a chunk size", "", "0" });
    CAPTURE(form.name);
    auto router = SmallRouter {};
    for (auto index = std::size_t { 0 }; index < crowd; ++index) {
        auto& caller = router.add(std::string(head) + std::string(chunkedHead) + form.start);
        caller.sendEndlessly(form.endless);
    }
    router.checkBounds();
}

TEST_CASE("Bodies far over the limit, announced or just sent, don't use up a router's memory", "[alone]")
{
    const auto isAnnounced = GENERATE(true, false);
    auto router = SmallRouter {};
    for (auto index = std::size_t { 0 }; index < crowd; ++index) {
        auto& caller = router.add(head);
        if (isAnnounced)
            caller.send("Content-Length: " + std::to_string(100 * bodyLimit) + "\r\n\r\n");
        else
            caller.send(chunkedHead);
        caller.sendEndlessly(isAnnounced ? std::string(1000, 'x') : chunkOf(1000));
    }
    router.checkBounds();
}

TEST_CASE("Many bodies that stop just short of their end don't use up a router's memory", "[alone]")
{
    const auto chunkBytes
        = GENERATE(std::size_t { 1 }, std::size_t { 4096 }, bodyLimit - 1, std::size_t { 0 });
    CAPTURE(chunkBytes);
    // Zero stands for a body of announced length.
    const auto total = chunkBytes == 1 ? bodyLimit / 2 : bodyLimit - 1;
    auto router = SmallRouter {};
    for (auto index = std::size_t { 0 }; index < largeCrowd; ++index) {
        auto& caller = router.add(head);
        if (chunkBytes == 0) {
            caller.send(
                "Content-Length: " + std::to_string(bodyLimit) + "\r\n\r\n" + std::string(total, 'x'));
            continue;
        }
        caller.send(chunkedHead);
        auto body = std::string {};
        for (auto sent = std::size_t { 0 }; sent + chunkBytes <= total; sent += chunkBytes)
            body += chunkOf(chunkBytes);
        caller.send(body);
    }
    router.checkBounds();
}

TEST_CASE("Heads without end and requests behind one that waits don't use up a router's memory", "[alone]")
{
    const auto isPipelined = GENERATE(false, true);
    auto router = SmallRouter {};
    if (isPipelined)
        router.fleet.fault(1, R"({"mode":"silent"})");
    for (auto index = std::size_t { 0 }; index < largeCrowd; ++index) {
        auto& caller = router.add(head);
        if (!isPipelined) {
            caller.send("X-Endless: ");
            for (auto byte = 0; byte < 2000 && caller.send("x"); ++byte) { }
            continue;
        }
        caller.send("Content-Length: 0\r\n\r\n");
        caller.send(std::string(head) + "Content-Length: 500000\r\n\r\n" + std::string(250000, 'x'));
    }
    if (isPipelined)
        router.fleet.fault(1, R"({"mode":"none"})");
    router.checkBounds();
}

TEST_CASE("Connections that send nothing don't keep ordinary callers out of a router", "[alone]")
{
    auto router = SmallRouter {};
    for (auto index = std::size_t { 0 }; index < descriptors; ++index)
        router.add();
    router.checkBounds();
}
