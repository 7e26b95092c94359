#include "relay.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "clock.h"

namespace camphorshunt::router {

namespace {

/** Divisor: the part of all connections that is closed at a time if there are too many idle ones. */
constexpr auto roomPart = std::size_t { 16 };
/** Pause between two searches for idle connections, as each one takes time for every connection. */
constexpr auto roomPause = Duration(std::chrono::milliseconds(100));

} // namespace

auto Relay::removeCaller(const CallerConnection& caller) -> void
{
    memory_.release(caller.number());
    callers_.erase(caller.number());
}

auto Relay::accountCaller(
    const CallerConnection& caller, OrganisationId organisation, std::size_t bytes, Time progressAt) -> void
{
    const auto shed = memory_.setHeld(steadyNow(), caller.number(), organisation, bytes, progressAt);
    // Posted, as the connection that reports may be in the middle of a request.
    for (const auto number : shed) {
        const auto found = callers_.find(number);
        if (found != callers_.end())
            boost::asio::post(context_, [weak = found->second] {
                if (const auto victim = weak.lock())
                    victim->shed();
            });
    }
}

auto Relay::makeRoom() -> bool
{
    const auto now = steadyNow();
    if (callers_.size() < settings_.maxCallers)
        return true;
    if (now < nextRoom_)
        return false;
    nextRoom_ = now + roomPause;
    auto idle = std::vector<std::shared_ptr<CallerConnection>> {};
    for (const auto& [number, weak] : callers_) {
        auto caller = weak.lock();
        if (caller && caller->isIdle())
            idle.push_back(std::move(caller));
    }
    // First those that have never sent a request; of each kind those that have waited longest.
    const auto order
        = [](const auto& caller) { return std::pair(!caller->isUnused(), caller->waitingSince()); };
    std::ranges::sort(idle, {}, order);
    auto toClose = std::max<std::size_t>(1, settings_.maxCallers / roomPart);
    for (const auto& caller : idle) {
        if (toClose == 0)
            break;
        if (!caller->closeUnread())
            continue;
        --toClose;
        metrics_.callerClosed("idle");
    }
    return callers_.size() < settings_.maxCallers;
}

auto Relay::unfinishedCallers() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(callers_, [](const auto& entry) {
        const auto caller = entry.second.lock();
        return caller && caller->isUnfinished();
    }));
}

} // namespace camphorshunt::router
