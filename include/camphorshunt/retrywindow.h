#pragma once

#include <array>
#include <cstdint>

#include "camphorshunt/time.h"

namespace camphorshunt {

/**
 * Bounds the retries of one service to a share of its requests over a sliding window, with some to
 * spare at any time. Each router keeps its own: the shares add up to the fleet's, the spare ones are
 * divided.
 */
class RetryWindow {
public:
    struct Settings {
        /** Retries for each request. */
        double ratio = 0.2;
        /** Retries that are allowed besides, in the whole fleet. */
        double burstAllowance = 0;
        Duration window = std::chrono::seconds(10);
    };

    explicit RetryWindow(const Settings& settings)
        : settings_(settings)
    {
    }

    auto recordRequest(Time now) -> void;
    /** Routers among which the spare retries are divided. */
    auto setRouters(std::size_t routers) -> void { routers_ = routers; }
    /** Takes one try, or refuses. */
    auto tryAcquire(Time now) -> bool;

private:
    static constexpr auto buckets = std::size_t { 20 };

    struct Bucket {
        std::int64_t slice = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    auto bucketAt(Time now) -> Bucket&;
    auto slice(Time now) const -> std::int64_t;

    Settings settings_;
    std::size_t routers_ = 1;
    std::array<Bucket, buckets> ring_ {};
};

} // namespace camphorshunt
