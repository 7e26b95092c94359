#include "camphorshunt/retrywindow.h"

#include <algorithm>

namespace camphorshunt {

namespace {

/** Fraction of the limit that is used, since the windows of the routers are not aligned with the fleet's. */
constexpr auto usableFraction = 0.7;

} // namespace

auto RetryWindow::slice(Time now) const -> std::int64_t
{
    return now.time_since_epoch() / (settings_.window / buckets);
}

auto RetryWindow::bucketAt(Time now) -> Bucket&
{
    const auto current = slice(now);
    auto& bucket = ring_[static_cast<std::size_t>(current) % buckets];
    if (bucket.slice != current)
        bucket = { current, 0, 0 };
    return bucket;
}

auto RetryWindow::recordRequest(Time now) -> void { ++bucketAt(now).requests; }

auto RetryWindow::allows(Time now) const -> bool
{
    const auto oldest = slice(now) - static_cast<std::int64_t>(buckets);
    auto requests = 0.0;
    auto retries = 0.0;
    for (const auto& bucket : ring_) {
        if (bucket.slice <= oldest)
            continue;
        requests += bucket.requests;
        retries += bucket.retries;
    }
    const auto burstAllowance = settings_.burstAllowance / double(std::max<std::size_t>(1, routers_));
    return retries + 1 <= usableFraction * (settings_.ratio * requests + burstAllowance);
}

auto RetryWindow::tryAcquire(Time now) -> bool
{
    if (!allows(now))
        return false;
    ++bucketAt(now).retries;
    return true;
}

} // namespace camphorshunt
