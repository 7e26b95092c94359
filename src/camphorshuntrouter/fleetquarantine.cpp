#include "fleetcontrol.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "clock.h"
#include "quarantinerecord.h"

// How the routers learn under which prompt parts engines crash.

namespace camphorshunt::router {

namespace {

constexpr auto repeatInterval = Duration(std::chrono::milliseconds(1000));
constexpr auto maxUnstored = std::size_t { 256 };

} // namespace

auto FleetControl::publishQuarantines(
    Time now, std::span<const PlacementCoordinator::ServiceQuarantine> found) -> void
{
    if (found.empty())
        return;
    const auto& table = sync_.fleet().table();
    auto frame = PeerFrame {};
    for (const auto& [id, change] : found) {
        const auto* const service = table ? table->service(id) : nullptr;
        const auto told = toldAt(now, id, change.part);
        log_.write(LogLevel::Warning, told.released ? "prompt-part-released" : "prompt-part-quarantined",
            { { "service", service == nullptr ? "-" : service->name }, { "part", partNames(told) },
                { "crashes", std::to_string(change.crashes) },
                { "last-upstream", std::to_string(change.engine.value) },
                { "ms", std::to_string(told.left.count()) } });
        frame.quarantines.push_back(told);
        handlers_.callStore(StoreQuarantine { told });
    }
    sendUpdate(now, std::move(frame), true);
}

auto FleetControl::publishCrashes(Time now, std::vector<PeerCrash> crashes) -> void
{
    if (crashes.empty())
        return;
    auto frame = PeerFrame {};
    frame.crashes = std::move(crashes);
    for (const auto& candidate : peers_.live(plan_.hubs()))
        sendDated(now, candidate.router, frame);
}

auto FleetControl::engineQueried(
    Time now, const PlacementCoordinator::EngineQuery& query, const EngineQueryResult& result) -> void
{
    const auto state = placement_.recordEngineQuery(now, query, result);
    metrics_.engineQueried(state);
    log_.write(LogLevel::Info, "engine-queried",
        { { "upstream", std::to_string(query.engine.upstream.value) },
            { "address", query.engine.endpoint.text() }, { "state", std::string(engineStateName(state)) },
            { "started-ms", std::to_string(query.engine.startedAt.count()) },
            { "reported-start-ms",
                result.startedAt ? std::to_string(result.startedAt->count()) : std::string("-") } });
}

auto FleetControl::logTold(const PeerQuarantine& told, std::string from) -> void
{
    log_.write(LogLevel::Info, "prompt-part-told",
        { { "part", partNames(told) }, { "from", std::move(from) },
            { "released", told.released ? "true" : "false" }, { "ms", std::to_string(told.left.count()) } });
}

auto FleetControl::quarantinesArrived(Time now, RouterId peer, std::span<const PeerQuarantine> told) -> void
{
    auto frame = PeerFrame {};
    std::ranges::copy_if(told, std::back_inserter(frame.quarantines),
        [this, now](const PeerQuarantine& item) { return placement_.applyQuarantine(now, item); });
    if (frame.quarantines.empty())
        return;
    for (const auto& item : frame.quarantines)
        logTold(item, std::to_string(peer.value));
    // A hub tells all hubs itself; other routers may be connected to some of them only.
    sendUpdate(now, std::move(frame), !plan_.hubs().isHub(peer));
}

auto FleetControl::handle(Time /*now*/, const QuarantineStored& stored) -> void
{
    if (stored.done)
        return;
    log_.write(LogLevel::Warning, "quarantine-not-stored",
        { { "part", partNames(stored.quarantine) }, { "error", stored.done.error().text() } });
    if (unstoredQuarantines_.size() < maxUnstored)
        unstoredQuarantines_.push_back(stored.quarantine);
}

auto FleetControl::handle(Time now, const QuarantinesRead& read) -> void
{
    if (!read.content) {
        log_.write(LogLevel::Warning, "quarantines-not-read", { { "error", read.content.error().text() } });
        quarantinesUnread_ = true;
        return;
    }
    const auto& content = read.content.value();
    if (content.unreadable > 0) {
        log_.write(LogLevel::Warning, "store-record-unreadable",
            { { "topic", "quarantines" }, { "records", std::to_string(content.unreadable) } });
    }
    for (const auto& item : content.quarantines) {
        if (placement_.applyQuarantine(now, item))
            logTold(item, "store");
    }
}

auto FleetControl::storeReturned(Time now) -> void
{
    sync_.rejoinFleet(now, fleetSize_);
    for (const auto& quarantine : placement_.quarantines(now))
        handlers_.callStore(StoreQuarantine { quarantine });
}

auto FleetControl::repeatQuarantines(Time now) -> void
{
    if (now < nextQuarantineRepeat_)
        return;
    nextQuarantineRepeat_ = now + repeatInterval;
    for (const auto& quarantine : std::exchange(unstoredQuarantines_, {}))
        handlers_.callStore(StoreQuarantine { quarantine });
    if (quarantinesUnread_ && sync_.fleet().table() && plan_.hubs().isHub(plan_.self())) {
        quarantinesUnread_ = false;
        handlers_.callStore(ReadQuarantines {});
    }
    auto frame = PeerFrame {};
    frame.quarantines = placement_.quarantines(now);
    if (!frame.quarantines.empty())
        sendUpdate(now, std::move(frame), true);
}

} // namespace camphorshunt::router
