#pragma once

#include <memory>
#include <optional>
#include <random>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "httpclient.h"
#include "loadcall.h"
#include "measurements.h"

namespace camphorshunt::load {

/** Generates the load of one organisation: an open loop with exponential intervals, or a closed loop. */
class Generator {
public:
    Generator(boost::asio::io_context& context, net::HttpClient& client, const Plan& plan,
        std::size_t organisation, Measurements& measurements);

    auto start() -> void;

private:
    auto startSending() -> void;
    auto scheduleArrival() -> void;
    auto send() -> void;
    auto scheduleRetry() -> void;
    auto onCallEnd(std::size_t daemon, LoadCall::End end) -> void;
    auto chooseDaemon() -> std::size_t;
    auto isOver() const -> bool { return end_ && Clock::now() >= *end_; }

    boost::asio::io_context& context_;
    net::HttpClient& client_;
    const Plan& plan_;
    const PlannedOrganisation& organisation_;
    std::size_t index_;
    Measurements& measurements_;
    std::mt19937_64 random_;
    boost::asio::steady_timer timer_;
    std::optional<Clock::time_point> end_;
    /** By daemon: it is avoided until this time because a call failed; ignored while all are avoided. */
    std::vector<Clock::time_point> avoidUntil_;
};

} // namespace camphorshunt::load
