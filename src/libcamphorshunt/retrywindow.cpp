#include "camphorshunt/retrywindow.h"

#include <algorithm>

namespace camphorshunt {

namespace {

/** Part of the allowance that is used, since windows of routers and of the fleet do not quite agree. */
constexpr auto usedPart = 0.7;

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

auto RetryWindow::noteRequest(Time now) -> void { ++bucketAt(now).requests; }

auto RetryWindow::take(Time now) -> bool
{
    const auto oldest = slice(now) - static_cast<std::int64_t>(buckets);
    auto requests = 0.0;
    auto tries = 0.0;
    for (const auto& bucket : ring_) {
        if (bucket.slice <= oldest)
            continue;
        requests += bucket.requests;
        tries += bucket.tries;
    }
    const auto spare = settings_.spare / double(std::max<std::size_t>(1, routers_));
    if (tries + 1 > usedPart * (settings_.ratio * requests + spare))
        return false;
    ++bucketAt(now).tries;
    return true;
}

} // namespace camphorshunt
