#pragma once

#include <array>
#include <cstdint>

#include "camphorshunt/time.h"

namespace camphorshunt {

/**
 * Limits the retries of one service to a fraction of its requests over a sliding window, plus a fixed
 * burst allowance. Each router has its own window for its own requests; the fleet's burst allowance is
 * divided among the routers, so that together they stay within the fleet's limit.
 */
class RetryWindow {
public:
    struct Settings {
        /** Retries allowed per request. */
        double ratio = 0.2;
        /** Additional retries allowed per window in the whole fleet. */
        double burstAllowance = 0;
        Duration window = std::chrono::seconds(10);
    };

    explicit RetryWindow(const Settings& settings)
        : settings_(settings)
    {
    }

    auto recordRequest(Time now) -> void;
    /** Number of routers among which the burst allowance is divided. */
    auto setRouters(std::size_t routers) -> void { routers_ = routers; }
    /** Whether `tryAcquire` would succeed. */
    auto allows(Time now) const -> bool;
    /** Returns true and counts one retry if the limit allows it. */
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
