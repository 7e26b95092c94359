#pragma once

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace camphorshunt {

/** Runs one io_context on its own thread until stopped. */
class Worker {
public:
    Worker() = default;
    Worker(const Worker&) = delete;
    Worker(Worker&&) = delete;
    auto operator=(const Worker&) -> Worker& = delete;
    auto operator=(Worker&&) -> Worker& = delete;
    ~Worker();

    auto context() -> boost::asio::io_context& { return context_; }
    auto start() -> void;
    /** Waits for the running handler to return. Handlers still queued are never run. */
    auto stop() -> void;

private:
    boost::asio::io_context context_ { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_
        = boost::asio::make_work_guard(context_);
    std::thread thread_;
};

} // namespace camphorshunt
