#include "worker.h"

namespace camphorshunt {

Worker::~Worker() { stop(); }

auto Worker::start() -> void
{
    thread_ = std::thread([this] { context_.run(); });
}

auto Worker::stop() -> void
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

} // namespace camphorshunt
