#pragma once

#include <memory>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <prometheus/registry.h>

#include "scheduler.h"
#include "worker.h"

namespace camphorshunt::test {

inline auto freePort() -> std::uint16_t
{
    using Tcp = boost::asio::ip::tcp;
    auto context = boost::asio::io_context {};
    return Tcp::acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 }).local_endpoint().port();
}

/** A router's scheduler on a thread of its own, listening for peers on a free port of loopback. */
struct SchedulerThread {
    SchedulerThread()
    {
        settings.listen = { "127.0.0.1", freePort() };
        settings.failureDomain = "zone-a";
    }

    ~SchedulerThread()
    {
        thread.context().stop();
        if (runner.joinable())
            runner.join();
        scheduler.reset();
    }

    SchedulerThread(const SchedulerThread&) = delete;
    auto operator=(const SchedulerThread&) -> SchedulerThread& = delete;

    auto start() -> void
    {
        auto created = router::Scheduler::create(
            thread.context(), settings, { toRelay, toStore }, log, metrics, state);
        REQUIRE(created);
        scheduler = std::move(created.value());
        runner = std::thread([this] { thread.context().run(); });
    }

    router::Scheduler::Settings settings;
    Worker thread;
    boost::asio::io_context relayContext;
    boost::asio::io_context storeContext;
    Ring<router::SchedulerToRelay> toRelay { thread.context(), relayContext, 4096, 1024 };
    Ring<router::SchedulerToStore> toStore { thread.context(), storeContext, 4096, 1024 };
    router::RouterLog log;
    prometheus::Registry registry;
    router::RouterMetrics metrics { registry };
    router::SharedState state;
    std::unique_ptr<router::Scheduler> scheduler;
    std::thread runner;
};

} // namespace camphorshunt::test
