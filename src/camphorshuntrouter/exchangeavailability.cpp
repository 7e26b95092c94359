#include "exchange.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "relay.h"

// What an exchange does if upstreams leave or rest.

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

/** Requests that wait for the end of a rest are sent over this time, so that they don't arrive together. */
constexpr auto returnSpread = milliseconds(250);
/** Retry time of callers if all upstreams leave: others are likely to be listed by then. */
constexpr auto retryAfterLeaving = milliseconds(1000);
/** Engines chosen by the placer, and not usable by this router, after which a request is refused. */
constexpr auto maxWithheld = std::size_t { 8 };

} // namespace

auto Exchange::chooseUpstream() -> void
{
    const auto now = steadyNow();
    const auto* const upstream = relay_.balancer(service_).choose(now, relay_.failureDomain(), tried_);
    if (upstream == nullptr)
        waitForRest(now);
    else
        send(*upstream, nullptr);
}

auto Exchange::connectionOpened() -> void
{
    if (relay_.availability().maySend(steadyNow(), *upstream_))
        return;
    // The upstream has left or begun to rest while the connection was set up.
    const auto self = shared_from_this();
    const auto upstream = *upstream_;
    connection_->close();
    --sends_;
    endAttempt(PlacementEnd::Cancelled);
    answer_.discardUnsent();
    avoidWithheld(upstream.process());
}

auto Exchange::withhold(const UpstreamEntry& upstream) -> void
{
    if (onEngine_) {
        relay_.repeatAvailability(upstream);
        relay_.reportEnd(number_, service_, PlacementEnd::Cancelled);
    }
    avoidWithheld(upstream.process());
}

auto Exchange::avoidWithheld(const UpstreamProcess& process) -> void
{
    relay_.metrics().sendWithheld();
    withheld_.push_back(process);
    if (withheld_.size() < maxWithheld) {
        assignUpstream();
        return;
    }
    const auto now = steadyNow();
    auto soonest = std::optional<Time> {};
    for (const auto& other : withheld_) {
        const auto from = relay_.availability().sendableFrom(now, other);
        if (from)
            soonest = std::min(soonest.value_or(*from), *from);
    }
    giveUp("no engine may be sent to", soonest ? retryAt(now, *soonest) : retryAfterLeaving);
}

auto Exchange::enginesToAvoid() const -> std::vector<UpstreamId>
{
    auto avoid = tried_;
    for (const auto& process : withheld_)
        avoid.push_back(process.upstream);
    return avoid;
}

auto Exchange::waitForRest(Time now) -> void
{
    const auto outlook = relay_.balancer(service_).outlook(now);
    if (outlook.restEnds) {
        // An upstream that asked for rest has not failed, so that it may be tried again.
        std::erase_if(
            tried_, [this, now](UpstreamId id) { return relay_.balancer(service_).rests(now, id); });
        const auto onTime
            = route_->goal.count() != 0 && !answer_.hasBegun() ? times_.arrived + route_->goal : deadline_;
        const auto latest = std::min<Time>(onTime, deadline_);
        // The spread takes at most half of the time that is left then.
        const auto next
            = *outlook.restEnds + std::min<Duration>(drawSpread(), (latest - *outlook.restEnds) / 2);
        if (*outlook.restEnds < latest) {
            waitUntil_ = next;
            relay_.scheduleCheck(shared_from_this(), next);
            return;
        }
        giveUp("the upstreams rest for too long", retryAt(now, *outlook.restEnds));
        return;
    }
    if (outlook.leaving && !outlook.usable)
        giveUp("all upstreams leave", retryAfterLeaving + drawSpread());
    else
        giveUp("no upstream is left to try");
}

auto Exchange::endOfRefusal(PlacementEnd end) const -> PlacementEnd
{
    const auto& received = answer_.received();
    return received.leaving || received.rest ? PlacementEnd::Cancelled : end;
}

auto Exchange::retryAfterRest() -> std::optional<milliseconds>
{
    if (onEngine_ || !answer_.received().rest)
        return std::nullopt;
    const auto now = steadyNow();
    const auto outlook = relay_.balancer(service_).outlook(now);
    if (outlook.usable || !outlook.restEnds)
        return std::nullopt;
    return retryAt(now, *outlook.restEnds);
}

auto Exchange::retryAt(Time now, Time end) -> milliseconds
{
    return inMilliseconds(std::max(end - now, Duration {})) + milliseconds(1) + drawSpread();
}

auto Exchange::drawSpread() -> milliseconds
{
    return milliseconds(relay_.drawRandom() % std::uint64_t(returnSpread.count()));
}

} // namespace camphorshunt::router
