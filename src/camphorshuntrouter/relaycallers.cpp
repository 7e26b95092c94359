#include "relay.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "clock.h"

namespace camphorshunt::router {

namespace {

/** Divisor: the part of all connections that is closed at a time if there are too many idle ones. */
constexpr auto roomPart = std::size_t { 16 };

} // namespace

auto Relay::removeCaller(const CallerConnection& caller) -> void
{
    memory_.release(caller.number());
    callers_.erase(caller.number());
}

auto Relay::accountCaller(const CallerConnection& caller, OrganisationId organisation, std::size_t bytes)
    -> void
{
    const auto shed = memory_.setHeld(steadyNow(), caller.number(), organisation, bytes);
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
    if (callers_.size() < settings_.maxCallers)
        return true;
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
    idle.resize(std::min(idle.size(), std::max<std::size_t>(1, settings_.maxCallers / roomPart)));
    for (const auto& caller : idle) {
        metrics_.callerClosed("idle");
        caller->closeIfIdle();
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
