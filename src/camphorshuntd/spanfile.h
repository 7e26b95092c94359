#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "camphorshunt/result.h"

namespace camphorshunt {

/**
 * Writes lines to a file on its own thread, up to a size limit. A line is dropped and counted if the queue or
 * the file is full, so that a slow disk does not block the callers of `write`.
 */
class SpanFile {
public:
    static constexpr auto queueCapacity = std::size_t { 4096 };

    static auto create(const std::string& file, std::uint64_t limitBytes)
        -> Result<std::unique_ptr<SpanFile>>;
    SpanFile(const SpanFile&) = delete;
    SpanFile(SpanFile&&) = delete;
    auto operator=(const SpanFile&) -> SpanFile& = delete;
    auto operator=(SpanFile&&) -> SpanFile& = delete;
    /** Writes the queued lines, then stops the thread. */
    ~SpanFile();

    auto write(std::string line) -> void;
    auto dropped() const -> std::uint64_t { return dropped_.load(); }

private:
    SpanFile(std::ofstream stream, std::uint64_t limitBytes);

    auto run() -> void;
    auto writeAll(const std::deque<std::string>& lines) -> void;

    std::ofstream stream_;
    std::uint64_t bytesLeft_;
    std::atomic<std::uint64_t> dropped_ = 0;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::string> queue_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace camphorshunt
