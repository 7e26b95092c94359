#include "camphorshunt/ring.h"

#include <numeric>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using camphorshunt::Ring;

TEST_CASE("A ring refuses new work when only the reserve is left and still accepts control messages")
{
    auto producer = boost::asio::io_context {};
    auto consumer = boost::asio::io_context {};
    auto ring = Ring<int>(producer, consumer, 4, 2);
    auto received = std::vector<int> {};
    ring.onItem([&received](int item) { received.push_back(item); });

    CHECK(ring.tryPush(0));
    CHECK(ring.tryPush(1));
    CHECK_FALSE(ring.tryPush(100));
    for (auto item = 2; item < 10; ++item)
        ring.push(item);
    CHECK(ring.overflowing());

    while (consumer.poll() + producer.poll() != 0) {
        consumer.restart();
        producer.restart();
    }
    auto expected = std::vector<int>(10);
    std::iota(expected.begin(), expected.end(), 0);
    CHECK(received == expected);
    CHECK_FALSE(ring.overflowing());
    CHECK(ring.tryPush(10));
}

TEST_CASE("A ring notifies its producer when the overflow queue has become empty")
{
    auto producer = boost::asio::io_context {};
    auto consumer = boost::asio::io_context {};
    auto ring = Ring<int>(producer, consumer, 2, 1);
    auto flushed = 0;
    ring.onItem([](int) {});
    ring.onFlushed([&] { ++flushed; });
    for (auto item = 0; item < 4; ++item)
        ring.push(item);
    while (consumer.poll() + producer.poll() != 0) {
        consumer.restart();
        producer.restart();
    }
    CHECK(flushed == 1);
}

TEST_CASE("A ring loses and reorders nothing between two threads")
{
    CHECK(rc::check("every pushed item arrives in order", [] {
        const auto count = *rc::gen::inRange(0, 2000);
        const auto capacity = *rc::gen::inRange<std::size_t>(2, 16);
        auto producer = boost::asio::io_context {};
        auto consumer = boost::asio::io_context {};
        auto producerGuard = boost::asio::make_work_guard(producer);
        auto consumerGuard = boost::asio::make_work_guard(consumer);
        auto ring = Ring<int>(producer, consumer, capacity, 1);
        auto received = std::vector<int> {};
        ring.onItem([&](int item) {
            received.push_back(item);
            if (item == count) {
                consumer.stop();
                producer.stop();
            }
        });

        boost::asio::post(producer, [&] {
            for (auto item = 0; item <= count; ++item)
                ring.push(item);
        });
        auto consuming = std::thread([&] { consumer.run(); });
        producer.run();
        consuming.join();

        auto expected = std::vector<int>(static_cast<std::size_t>(count) + 1);
        std::iota(expected.begin(), expected.end(), 0);
        RC_ASSERT(received == expected);
    }));
}

TEST_CASE("Other work of the consumer gets its turn while the producer goes on refilling the ring")
{
    auto producer = boost::asio::io_context {};
    auto consumer = boost::asio::io_context {};
    auto ring = Ring<int>(producer, consumer, 8, 2);
    auto handled = 0;
    auto handledBefore = -1;
    ring.onItem([&](int item) {
        ++handled;
        if (item < 1000)
            ring.push(item + 1);
    });
    ring.push(0);
    boost::asio::post(consumer, [&] { handledBefore = handled; });
    while (consumer.poll() + producer.poll() != 0) {
        consumer.restart();
        producer.restart();
    }
    CHECK(handled == 1001);
    CHECK(handledBefore < 10);
}

TEST_CASE("What a stopped ring still holds is delivered in order, with its overflow")
{
    auto producer = boost::asio::io_context {};
    auto consumer = boost::asio::io_context {};
    auto ring = Ring<int>(producer, consumer, 4, 2);
    auto received = std::vector<int> {};
    ring.onItem([&received](int item) { received.push_back(item); });
    for (auto item = 0; item < 9; ++item)
        ring.push(item);
    REQUIRE(ring.overflowing());
    ring.deliverRest();
    auto expected = std::vector<int>(9);
    std::iota(expected.begin(), expected.end(), 0);
    CHECK(received == expected);
    CHECK(ring.depth() == 0);
}
