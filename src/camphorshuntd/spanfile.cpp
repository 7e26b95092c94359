#include "spanfile.h"

#include <utility>

namespace camphorshunt {

auto SpanFile::create(const std::string& file, std::uint64_t limitBytes) -> Result<std::unique_ptr<SpanFile>>
{
    auto stream = std::ofstream(file, std::ios::binary | std::ios::trunc);
    if (!stream)
        return failure(Error::Code::Io, "trace", "file '" + file + "' cannot be written");
    return std::unique_ptr<SpanFile>(new SpanFile(std::move(stream), limitBytes));
}

SpanFile::SpanFile(std::ofstream stream, std::uint64_t limitBytes)
    : stream_(std::move(stream))
    , bytesLeft_(limitBytes)
    , thread_([this] { run(); })
{
}

SpanFile::~SpanFile()
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

auto SpanFile::write(std::string line) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        if (queue_.size() >= queueCapacity) {
            ++dropped_;
            return;
        }
        queue_.push_back(std::move(line));
    }
    wake_.notify_one();
}

auto SpanFile::run() -> void
{
    auto lines = std::deque<std::string> {};
    auto lock = std::unique_lock(mutex_);
    while (true) {
        wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
        if (queue_.empty())
            return;
        lines.swap(queue_);
        lock.unlock();
        writeAll(lines);
        lines.clear();
        lock.lock();
    }
}

auto SpanFile::writeAll(const std::deque<std::string>& lines) -> void
{
    for (const auto& line : lines) {
        if (line.size() + 1 > bytesLeft_) {
            ++dropped_;
            continue;
        }
        bytesLeft_ -= line.size() + 1;
        stream_ << line << '\n';
    }
    stream_.flush();
}

} // namespace camphorshunt
