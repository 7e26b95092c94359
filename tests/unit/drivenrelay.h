#pragma once

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <prometheus/registry.h>

#include "relay.h"

namespace camphorshunt::test {

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
