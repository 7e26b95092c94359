#pragma once

#include <deque>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "generator.h"
#include "httpclient.h"
#include "measurements.h"
#include "sampler.h"

namespace camphorshunt::load {

/** Runs the load of a plan against a fleet, on the calling thread, and collects the measurements. */
class LoadRun {
public:
    explicit LoadRun(const Plan& plan);

    /** Blocks until the plan's duration has passed and the daemons' metrics have been read. */
    auto run() -> void;

    auto measurements() const -> const Measurements& { return measurements_; }
    auto sampler() const -> const Sampler& { return sampler_; }

private:
    auto scheduleAfter(Milliseconds delay, std::function<void()> callback) -> void;
    auto scheduleSample() -> void;
    auto inject(const PlannedFault& fault) -> void;

    const Plan& plan_;
    boost::asio::io_context context_ { 1 };
    std::unique_ptr<net::HttpClient> client_;
    Measurements measurements_;
    Sampler sampler_;
    std::deque<Generator> generators_;
    boost::asio::steady_timer sampleTimer_;
};

} // namespace camphorshunt::load
