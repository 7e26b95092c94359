#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "httpclient.h"
#include "messages.h"

namespace camphorshunt {

/** Appends to the log, tails its streams and polls the list of VMs. Platform thread only. */
class Platform {
public:
    struct Settings {
        Endpoint log;
        Endpoint vms;
        std::uint64_t seed {};
    };

    Platform(boost::asio::io_context& context, const Settings& settings, Ring<Event>& toScheduler,
        Ring<SchedulerToPlatform>& fromScheduler);

    /** Starts to poll the list of VMs. Must be called on the platform thread. */
    auto start() -> void;
    /** Number of appends started so far. May be called on any thread. */
    auto appends() const -> std::uint64_t { return appends_; }

private:
    /** State of a tailed stream. */
    struct Tail {
        Offset from;
        /** Increases with each `TailLog` order, so that answers to an earlier order are ignored. */
        std::uint64_t generation {};
        std::uint32_t failures {};
        std::shared_ptr<net::HttpCall> call;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    auto handle(const AppendLog& order) -> void;
    auto handle(const TailLog& order) -> void;
    auto read(const std::string& stream) -> void;
    auto readEnded(const std::string& stream, std::uint64_t generation, bool ok, const std::string& body)
        -> void;
    auto scheduleRetry(const std::string& stream, Tail& tail) -> void;
    auto pollVms() -> void;

    boost::asio::io_context& context_;
    Settings settings_;
    Ring<Event>& toScheduler_;
    std::unique_ptr<net::HttpClient> client_;
    std::mt19937_64 random_;
    std::uint64_t lastGeneration_ {};
    std::atomic<std::uint64_t> appends_ {};
    std::unordered_map<std::string, Tail> tails_;
    boost::asio::steady_timer vmsTimer_;
};

} // namespace camphorshunt
