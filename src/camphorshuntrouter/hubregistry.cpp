#include "hubregistry.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace camphorshunt::router {

namespace {

/** Routers without a connection that are remembered; beyond this, the last in the order are forgotten. */
constexpr auto maxUnconnected = std::size_t { 128 };

/** Larger shares of the processor first, in powers of two; routers of which only the address is known last.
 */
auto shareClass(double processorShare) -> int
{
    return processorShare > 0 ? -std::ilogb(processorShare) : std::numeric_limits<int>::max();
}

auto hashOf(RouterId router) -> std::uint64_t { return XXH64(&router.value, sizeof(router.value), 0); }

} // namespace

HubRegistry::HubRegistry(RouterAddress self)
    : self_(idOf<RouterId>(self.endpoint))
{
    routers_[self_].address = std::move(self);
    routers_[self_].connected = true;
}

auto HubRegistry::learn(const RouterAddress& received) -> bool
{
    auto address = received;
    // The precision of a frame, so that addresses from all sources compare alike.
    address.processorShare = static_cast<float>(address.processorShare);
    const auto router = idOf<RouterId>(address.endpoint);
    if (router == self_)
        return false;
    const auto [entry, added] = routers_.try_emplace(router);
    auto& known = entry->second.address;
    const auto completes = address.processorShare > 0
        && (known.processorShare != address.processorShare || known.failureDomain != address.failureDomain);
    if (!added && !completes)
        return false;
    known = std::move(address);
    rankingIsCurrent_ = false;
    if (added)
        dropSurplus();
    return true;
}

auto HubRegistry::setReachable(Time now, RouterId router, bool reachable) -> void
{
    const auto found = routers_.find(router);
    if (found == routers_.end() || found->second.reachable == reachable)
        return;
    found->second.reachable = reachable;
    found->second.unreachableSince = now;
    rankingIsCurrent_ = false;
}

auto HubRegistry::setConnected(RouterId router, bool connected) -> void
{
    const auto found = routers_.find(router);
    if (found != routers_.end())
        found->second.connected = connected;
}

auto HubRegistry::removeUnreachable(Time now, Duration age) -> void
{
    const auto removed = std::erase_if(routers_, [now, age](const auto& entry) {
        const auto& router = entry.second;
        return !router.connected && !router.reachable && now - router.unreachableSince > age;
    });
    if (removed > 0)
        rankingIsCurrent_ = false;
}

auto HubRegistry::isHub(RouterId router) const -> bool
{
    return std::ranges::find(hubs(), router) != hubs().end();
}

auto HubRegistry::inOrder() const -> std::vector<RouterId>
{
    auto keyed = std::vector<std::tuple<int, std::uint64_t, RouterId>> {};
    keyed.reserve(routers_.size());
    for (const auto& [id, router] : routers_)
        keyed.emplace_back(shareClass(router.address.processorShare), hashOf(id), id);
    std::ranges::sort(keyed);
    auto order = std::vector<RouterId> {};
    order.reserve(keyed.size());
    for (const auto& [shareClass, hash, id] : keyed)
        order.push_back(id);
    return order;
}

auto HubRegistry::ranking() const -> const Ranking&
{
    if (rankingIsCurrent_)
        return ranking_;
    ranking_ = {};
    for (const auto id : inOrder()) {
        const auto& router = routers_.at(id);
        const auto hubsMissing = ranking_.hubs.size() < maxHubs;
        if (hubsMissing && router.reachable)
            ranking_.hubs.push_back(id);
        if (hubsMissing && id != self_)
            ranking_.targets.push_back(id);
        if (router.reachable && router.address.processorShare > 0
            && ranking_.candidates.size() < maxHubs + maxStandby)
            ranking_.candidates.push_back(id);
    }
    rankingIsCurrent_ = true;
    return ranking_;
}

auto HubRegistry::dropSurplus() -> void
{
    const auto unconnected
        = std::ranges::count_if(routers_, [](const auto& entry) { return !entry.second.connected; });
    if (static_cast<std::size_t>(unconnected) <= maxUnconnected)
        return;
    const auto order = inOrder();
    const auto last = std::find_if(
        order.rbegin(), order.rend(), [this](RouterId id) { return !routers_.at(id).connected; });
    if (last != order.rend())
        routers_.erase(*last);
}

} // namespace camphorshunt::router
