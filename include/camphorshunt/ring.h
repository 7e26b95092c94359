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
 * A bounded queue from one thread to another, each of which runs an io_context. New work is refused once only
 * the reserved capacity is left. Control messages are never refused, lost or reordered: if the ring is full,
 * they wait in an overflow queue on the producer's side. Both contexts must have stopped before the ring is
 * destroyed.
 */
template <typename T> class Ring {
public:
    /** `reserve` entries of `capacity` are reserved for control messages. */
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

    /** Sets the handler that is called on the consumer's thread with each item; call before the threads
     * start. */
    auto onItem(std::function<void(T)> handler) -> void { handler_ = std::move(handler); }
    /** Sets the handler that is called on the producer's thread when the overflow queue has become empty. */
    auto onFlushed(std::function<void()> handler) -> void { flushed_ = std::move(handler); }

    /** Adds new work; returns false and changes nothing if only the reserve is left. Producer's thread. */
    auto tryPush(T item) -> bool
    {
        if (!overflow_.empty() || queue_.write_available() <= reserve_)
            return false;
        push(std::move(item));
        return true;
    }

    /** Adds a control message; never refused. Producer's thread. */
    auto push(T item) -> void
    {
        depth_.fetch_add(1, std::memory_order_relaxed);
        overflow_.push_back(std::make_unique<T>(std::move(item)));
        moveOverflow();
    }

    /**
     * Passes all queued items to the handler immediately. A consumer of two rings calls this on one ring
     * before it handles an item of the other that may depend on items in the first: while a ring is drained,
     * items newly added to it are handled before items that arrived earlier in another ring. Consumer's
     * thread.
     */
    auto deliver() -> void
    {
        while (deliverNext()) { }
    }

    /** Passes all items to the handler, also those of the overflow queue. Both contexts must have stopped. */
    auto deliverRest() -> void
    {
        deliver();
        for (auto rest = std::exchange(overflow_, {}); !rest.empty(); rest.pop_front()) {
            depth_.fetch_sub(1, std::memory_order_relaxed);
            handler_(std::move(*rest.front()));
        }
    }

    /** True while the overflow queue is not empty. Producer's thread. */
    auto overflowing() const -> bool { return !overflow_.empty(); }

    /** Number of queued items, including the overflow queue. Any thread. */
    auto depth() const -> std::size_t { return depth_.load(std::memory_order_relaxed); }

private:
    auto deliverNext() -> bool
    {
        auto* item = static_cast<T*>(nullptr);
        if (!queue_.pop(item))
            return false;
        const auto owned = std::unique_ptr<T>(item);
        depth_.fetch_sub(1, std::memory_order_relaxed);
        handler_(std::move(*owned));
        return true;
    }

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

    /** The consumer clears `woken_` before it drains the ring, so that no item is left without a wake-up. */
    auto wakeConsumer() -> void
    {
        if (!woken_.exchange(true))
            boost::asio::post(consumer_, [this] { drain(); });
    }

    auto drain() -> void
    {
        woken_.exchange(false);
        // The producer may refill the ring meanwhile; the consumer's other work gets its turn.
        for (auto count = queue_.read_available(); count > 0; --count)
            deliverNext();
        if (queue_.read_available() > 0)
            wakeConsumer();
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
