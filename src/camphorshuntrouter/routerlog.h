#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/lockfree/queue.hpp>

#include "camphorshunt/action.h"

namespace camphorshunt::router {

/**
 * Queue of log lines for the thread that writes them. Writing never blocks: lines that arrive when the queue
 * is full are dropped and counted.
 */
class RouterLog {
public:
    /** Limit for each event; at high load a router receives about 100 requests a second. */
    static constexpr auto linesPerSecond = std::uint64_t { 250 };

    RouterLog();
    ~RouterLog();
    RouterLog(const RouterLog&) = delete;
    RouterLog(RouterLog&&) = delete;
    auto operator=(const RouterLog&) -> RouterLog& = delete;
    auto operator=(RouterLog&&) -> RouterLog& = delete;

    /** Thread-safe. */
    auto write(LogLevel level, std::string_view event, std::vector<LogField> fields) -> void;
    /** Writes the queued lines to standard output. Call from one thread at a time. */
    auto drain() -> void;

private:
    boost::lockfree::queue<WriteLog*> lines_;
    std::atomic<std::uint64_t> droppedLines_ = 0;
};

} // namespace camphorshunt::router
