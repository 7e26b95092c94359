#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include "httpclient.h"
#include "measurements.h"

namespace camphorshunt::load {

/** Resource use of a daemon since its start. */
struct DaemonCost {
    double sentBytes {};
    double receivedBytes {};
    double sentFrames {};
    double receivedFrames {};
    double logAppends {};
    double processorSeconds {};
    double residentBytes {};
};

/** Parses the text of `/metrics`; missing metrics are 0. */
auto parseDaemonCost(std::string_view metrics) -> DaemonCost;

/** Polls the upstreams' load reports, the dispatchers' status and the daemons' metrics during a run. */
class Sampler {
public:
    struct Point {
        Clock::time_point at;
        /** Number of slots in use at the upstreams. */
        double busy {};
        /** Number of unused slots for which a request waits, from callers' counts and upstreams' reports. */
        double idleWhileWaiting {};
    };
    /** Sums over all samples of the dispatchers' own status. */
    struct DispatcherView {
        double slots {};
        double used {};
        double idleWhileWaiting {};
        double samples {};
    };

    Sampler(boost::asio::io_context& context, net::HttpClient& client, const Plan& plan,
        const Measurements& measurements);

    auto start() -> void;
    /** Ends the warm-up: discards all samples and reads the metrics as the baseline of the costs. */
    auto startMeasuring() -> void;
    /** Stops sampling and reads the metrics again; calls `onDone` when every daemon answered or failed. */
    auto finish(const std::function<void()>& onDone) -> void;

    auto points() const -> const std::vector<Point>& { return points_; }
    auto dispatchers() const -> const DispatcherView& { return dispatchers_; }
    /** Costs by daemon name; a daemon that did not answer both reads of its metrics is omitted. */
    auto costs() const -> std::map<std::string, DaemonCost>;
    auto measuredSeconds() const -> double;

private:
    using Answer = std::function<void(bool complete, const std::string& body)>;
    using Costs = std::map<std::string, DaemonCost>;

    auto fetch(const Endpoint& endpoint, std::string_view target, Answer answer) -> void;
    auto scheduleSample() -> void;
    auto readLoads() -> void;
    auto readStatus() -> void;
    auto readCosts(Costs& into, const std::function<void()>& onDone) -> void;
    auto handleStatus(const std::string& body) -> void;

    boost::asio::io_context& context_;
    net::HttpClient& client_;
    const Plan& plan_;
    const Measurements& measurements_;
    boost::asio::steady_timer timer_;
    std::uint64_t ticks_ {};
    std::vector<Point> points_;
    DispatcherView dispatchers_;
    Clock::time_point measuringSince_;
    Clock::time_point endedAt_;
    Costs before_;
    Costs after_;
};

} // namespace camphorshunt::load
