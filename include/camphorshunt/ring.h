#pragma once

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

namespace camphorshunt {

/**
 * A bounded queue from one thread to another, each of which runs an io_context. New work is refused
 * once the ring is filled to a mark; control messages are never refused, lost or reordered: those
 * that find the ring full wait on the producer's side. Both contexts must have stopped before the
 * ring goes.
 */
template <typename T> class Ring {
public:
    /** `reserve` places of `capacity` are kept for control messages. */
    Ring(boost::asio::io_context& producer, boost::asio::io_context& consumer, std::size_t capacity,
        std::size_t reserve)
        : producer_(producer)
        , consumer_(consumer)
        , reserve_(reserve)
        , queue_(capacity)
    {
    }

    Ring(const Ring&) = delete;
    Ring(Ring&&) = delete;
    auto operator=(const Ring&) -> Ring& = delete;
    auto operator=(Ring&&) -> Ring& = delete;
    ~Ring()
    {
        queue_.consume_all([](T* item) { delete item; });
    }

    /** Called on the consumer's thread with each item; set before the threads start. */
    auto onItem(std::function<void(T)> handler) -> void { handler_ = std::move(handler); }
    /** Called on the producer's thread once what waited beside the full ring has gone in. */
    auto onFlushed(std::function<void()> handler) -> void { flushed_ = std::move(handler); }

    /** New work: false, and no change, when only the reserve is left. Producer's thread. */
    auto tryPush(T item) -> bool
    {
        if (!overflow_.empty() || queue_.write_available() <= reserve_)
            return false;
        push(std::move(item));
        return true;
    }

    /** Control: always taken. Producer's thread. */
    auto push(T item) -> void
    {
        depth_.fetch_add(1, std::memory_order_relaxed);
        overflow_.push_back(std::make_unique<T>(std::move(item)));
        moveOverflow();
    }

    /**
     * Hands what waits to the handler at once. A consumer of two rings calls it on the one before it takes an
     * item of the other that may follow from what the first holds: while a ring is drained, its new items go
     * before those that came to another ring earlier. Consumer's thread.
     */
    auto deliver() -> void
    {
        auto* item = static_cast<T*>(nullptr);
        while (queue_.pop(item)) {
            const auto owned = std::unique_ptr<T>(item);
            depth_.fetch_sub(1, std::memory_order_relaxed);
            handler_(std::move(*owned));
        }
    }

    /** True while messages wait beside the full ring. Producer's thread. */
    auto overflowing() const -> bool { return !overflow_.empty(); }

    /** Items that wait, those beside the full ring too. Any thread. */
    auto depth() const -> std::size_t { return depth_.load(std::memory_order_relaxed); }

private:
    auto moveOverflow() -> void
    {
        while (!overflow_.empty() && queue_.push(overflow_.front().get())) {
            static_cast<void>(overflow_.front().release());
            overflow_.pop_front();
        }
        if (!overflow_.empty())
            wantsFlush_.store(true);
        wakeConsumer();
    }

    /** The consumer clears the flag before it drains, so an item is never left without a wake-up. */
    auto wakeConsumer() -> void
    {
        if (!woken_.exchange(true))
            boost::asio::post(consumer_, [this] { drain(); });
    }

    auto drain() -> void
    {
        woken_.exchange(false);
        deliver();
        if (wantsFlush_.exchange(false))
            boost::asio::post(producer_, [this] { flush(); });
    }

    auto flush() -> void
    {
        if (overflow_.empty())
            return;
        moveOverflow();
        if (overflow_.empty() && flushed_)
            flushed_();
    }

    boost::asio::io_context& producer_;
    boost::asio::io_context& consumer_;
    std::size_t reserve_;
    boost::lockfree::spsc_queue<T*> queue_;
    std::deque<std::unique_ptr<T>> overflow_;
    std::atomic<std::size_t> depth_ = 0;
    std::atomic<bool> woken_ = false;
    std::atomic<bool> wantsFlush_ = false;
    std::function<void(T)> handler_;
    std::function<void()> flushed_;
};

} // namespace camphorshunt
