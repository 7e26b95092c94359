#pragma once

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace camphorshunt {

/** A thread that runs one io_context until it is stopped. */
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
    /** Waits for the handler that runs; what is still posted never runs. */
    auto stop() -> void;

private:
    boost::asio::io_context context_ { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_
        = boost::asio::make_work_guard(context_);
    std::thread thread_;
};

} // namespace camphorshunt
