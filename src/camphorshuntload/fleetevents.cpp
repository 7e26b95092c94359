#include "fleetrun.h"

#include <algorithm>
#include <numeric>
#include <utility>

// What happens to a simulated fleet: losses, pauses and cuts.

namespace camphorshunt::load {

using namespace router;
using namespace std::chrono_literals;

namespace {

/** Time from the end of a process to the start of the next one. */
constexpr auto restartTime = Duration(100ms);
/** The end of a pause is judged this long before the router may take roles again. */
constexpr auto rejoinMargin = Duration(10ms);

} // namespace

auto FleetRun::scheduleEvents() -> void
{
    for (const auto& event : plan_.events) {
        events_.after(event.at, [this, &event] {
            beginPhase(event.name);
            begin(event);
        });
        if (event.length == 0ms)
            continue;
        const auto isRestart = event.kind == FleetEvent::Kind::Restart;
        events_.after(event.at + event.length + (isRestart ? restartTime : 0ms), [this, &event] {
            beginPhase(event.name + ", over");
            end(event);
        });
    }
}

auto FleetRun::begin(const FleetEvent& event) -> void
{
    using Kind = FleetEvent::Kind;
    if (event.kind == Kind::Publish) {
        store_.publish();
        publishedAt_ = events_.now();
        return;
    }
    const auto& affected = affected_[&event] = select(event.group);
    if (event.kind == Kind::CutOneWay || event.kind == Kind::CutInHalves || event.kind == Kind::CutLinks)
        network_.setCut(cutOf(event));
    isInHalves_ = isInHalves_ || event.kind == Kind::CutInHalves;
    if (event.kind == Kind::CutOneWay)
        mute_ = { affected.begin(), affected.end() };
    for (const auto host : affected)
        beginOn(event, host);
}

auto FleetRun::beginOn(const FleetEvent& event, std::size_t host) -> void
{
    using Kind = FleetEvent::Kind;
    if (event.kind == Kind::PowerOff)
        routers_[host]->stop(true);
    if (event.kind == Kind::Restart)
        restart(host, randomPart(event.length));
    if (event.kind == Kind::Slow)
        network_.setSlowness(host, event.delay);
    if (event.kind == Kind::Pause) {
        network_.setPaused(host, true);
        lastPause_[host] = events_.now();
    }
}

auto FleetRun::restart(std::size_t host, Duration at) -> void
{
    events_.after(at, [this, host] { routers_[host]->stop(false); });
    events_.after(at + restartTime, [this, host] { startRouter(host); });
}

auto FleetRun::end(const FleetEvent& event) -> void
{
    using Kind = FleetEvent::Kind;
    if (event.kind == Kind::CutOneWay || event.kind == Kind::CutInHalves || event.kind == Kind::CutLinks) {
        network_.setCut({});
        isInHalves_ = false;
        mute_.clear();
    }
    for (const auto host : affected_[&event]) {
        if (event.kind == Kind::PowerOff)
            startRouter(host);
        if (event.kind == Kind::Slow)
            network_.setSlowness(host, {});
        if (event.kind == Kind::Pause)
            resume(host);
    }
}

auto FleetRun::resume(std::size_t host) -> void
{
    const auto grants = routers_[host]->work().grants;
    network_.setPaused(host, false);
    events_.after(PeerTable::rejoinTime - rejoinMargin,
        [this, host, grants] { outcome_.grantsAfterPause += routers_[host]->work().grants - grants; });
}

auto FleetRun::select(FleetEvent::Group group) -> std::vector<std::size_t>
{
    using Group = FleetEvent::Group;
    auto hosts = std::vector<std::size_t>(routers_.size());
    std::iota(hosts.begin(), hosts.end(), std::size_t { 0 });
    const auto& view = *firstActive();
    if (group == Group::Third) {
        std::ranges::shuffle(hosts, random_);
        hosts.resize(hosts.size() / 3);
        std::ranges::sort(hosts);
    } else if (group == Group::Hubs) {
        hosts.clear();
        for (const auto hub : view.control().plan().hubs().hubs())
            hosts.push_back(world_.hosts.at(hub));
    } else if (group == Group::Placer) {
        hosts = { placerOf(view.host()).value_or(view.host()) };
    } else if (group == Group::Domain) {
        std::erase_if(hosts, [this](std::size_t host) { return host % plan_.failureDomains != 0; });
    } else if (group == Group::Large) {
        std::erase_if(hosts, [this](std::size_t host) { return host % plan_.largeEvery != 0; });
    }
    std::erase_if(hosts, [this](std::size_t host) { return !network_.isActive(host); });
    return hosts;
}

auto FleetRun::cutOf(const FleetEvent& event) -> SimulatedNetwork::Cut
{
    if (event.kind == FleetEvent::Kind::CutInHalves)
        return [this](std::size_t from, std::size_t to) { return half_[from] != half_[to]; };
    if (event.kind == FleetEvent::Kind::CutOneWay) {
        return [this](std::size_t from, std::size_t) { return mute_.contains(from); };
    }
    return [this](std::size_t from, std::size_t to) {
        const auto pair = std::minmax(routers_[from]->id(), routers_[to]->id());
        auto random = std::minstd_rand(static_cast<std::minstd_rand::result_type>(
            pair.first.value ^ (pair.second.value * 31) ^ plan_.seed));
        return random() % 3 == 0;
    };
}

} // namespace camphorshunt::load
