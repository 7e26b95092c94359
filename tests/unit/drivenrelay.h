#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <prometheus/registry.h>

#include "clock.h"
#include "relay.h"

namespace camphorshunt::test {

/** A route to the service `engines`, whose service has plain upstreams or engines. */
inline auto oneRoute(bool hasEngines, const CallerLimits& limits = {}) -> std::shared_ptr<const RouteTable>
{
    auto route = Route {};
    route.name = "route";
    route.host = "a.example";
    route.pathPrefix = "/x/";
    route.timeout = std::chrono::milliseconds(5000);
    route.targets = { { idOf<ServiceId>("engines"), 1 } };
    auto configuration = FleetConfiguration {};
    configuration.version = 1;
    configuration.routes = { route };
    configuration.services
        = { { "engines", 10, hasEngines ? std::optional(EngineTraits {}) : std::nullopt } };
    configuration.limits = limits;
    return RouteTable::build(std::move(configuration));
}

inline auto send(boost::asio::ip::tcp::socket& client, std::string_view text) -> void
{
    boost::asio::write(client, boost::asio::buffer(text));
}

/** A relay whose event loop the test drives, and clients that connect to it. */
struct DrivenRelay {
    using Tcp = boost::asio::ip::tcp;

    /** `retries`: that the relay may make beside those in proportion to its requests. */
    explicit DrivenRelay(double retries = 0)
    {
        {
            auto other = boost::asio::io_context {};
            port = Tcp::acceptor(other, { loopback, 0 }).local_endpoint().port();
        }
        auto settings = router::Relay::Settings {};
        settings.listen = { "127.0.0.1", port };
        settings.maxCallers = 150;
        settings.retries.burstAllowance = retries;
        auto listening = router::Relay::listen(context, settings, toScheduler, log, metrics, state);
        REQUIRE(listening);
        relay = std::move(listening.value());
        context.poll();
    }

    auto connect(std::size_t count) -> void
    {
        for (auto index = std::size_t { 0 }; index < count; ++index)
            clients.emplace_back(clientContext).connect({ loopback, port });
    }

    auto configure(std::shared_ptr<const RouteTable> table,
        std::shared_ptr<const router::UpstreamList> upstreams = {}) -> void
    {
        if (!upstreams)
            upstreams = std::make_shared<const router::UpstreamList>();
        relay->handleMessage(router::FleetChanged { std::move(table), std::move(upstreams), 1, {} });
    }

    /** Reads what the client gets while the relay runs for this time, or until the connection ends. */
    auto receive(Tcp::socket& client, std::chrono::milliseconds time) -> std::string
    {
        auto received = std::string {};
        auto buffer = std::string(std::size_t { 64 } * 1024, '\0');
        client.non_blocking(true);
        const auto end = router::steadyNow() + time;
        while (router::steadyNow() < end) {
            context.poll();
            auto error = boost::system::error_code {};
            received.append(buffer, 0, client.read_some(boost::asio::buffer(buffer), error));
            if (error && error != boost::asio::error::would_block)
                break;
            if (error)
                context.run_for(std::chrono::milliseconds(1));
        }
        return received;
    }

    boost::asio::ip::address loopback = boost::asio::ip::make_address("127.0.0.1");
    std::uint16_t port = 0;
    boost::asio::io_context context;
    boost::asio::io_context schedulerContext;
    boost::asio::io_context clientContext;
    Ring<router::RelayToScheduler> toScheduler { context, schedulerContext, 1024, 256 };
    router::RouterLog log;
    prometheus::Registry registry;
    router::RouterMetrics metrics { registry };
    router::SharedState state;
    std::unique_ptr<router::Relay> relay;
    std::vector<Tcp::socket> clients;
};

} // namespace camphorshunt::test
