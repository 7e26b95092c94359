#include "fleetsync.h"

#include <utility>

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

/** Minimum time between queries to peers for a newer configuration or directory. */
constexpr auto queryInterval = Duration(150ms);
constexpr auto staleDirectory = Duration(700ms);

} // namespace

FleetSync::FleetSync(std::string endpoint, Handlers handlers, RouterLog& log, RouterMetrics& metrics)
    : handlers_(std::move(handlers))
    , log_(log)
    , metrics_(metrics)
    , fleet_(log)
    , pacer_(std::move(endpoint))
{
}

auto FleetSync::tick(Time now, bool hasPeers) -> void
{
    if (fleet_.removeExpired(now))
        handlers_.onFleetChanged();
    const auto state
        = StorePacer::RouterState { fleet_.directoryEnd(), fleet_.table() != nullptr, isReader_, hasPeers };
    for (auto& call : pacer_.dueCalls(now, state))
        handlers_.callStore(std::move(call));
}

auto FleetSync::setReader(RouterId reader, bool isSelf) -> void
{
    reader_ = reader;
    isReader_ = isSelf;
}

auto FleetSync::handleFrame(Time now, RouterId from, PeerFrame& frame) -> void
{
    if (frame.configuration)
        applyConfiguration(std::move(*frame.configuration), "peer");
    if (frame.directory)
        applyDirectoryPage(now, *frame.directory, from);
    if (frame.heartbeat)
        compareHeartbeat(now, from, *frame.heartbeat);
    answerPeer(from, frame);
}

auto FleetSync::answerPeer(RouterId router, const PeerFrame& frame) -> void
{
    if (!frame.wantsConfiguration && !frame.wantsDirectory)
        return;
    auto answer = PeerFrame {};
    if (frame.wantsConfiguration && fleet_.table())
        answer.configuration = fleet_.configuration();
    if (frame.wantsDirectory && fleet_.directoryEnd())
        answer.directory = fleet_.directorySnapshot();
    handlers_.send(router, answer);
}

auto FleetSync::compareHeartbeat(Time now, RouterId from, const PeerHeartbeat& heartbeat) -> void
{
    const auto upToDate = heartbeat.configurationVersion <= fleet_.version();
    if (from == reader_ && heartbeat.storeReachable && upToDate)
        pacer_.configurationConfirmed(now);
    if (now < nextQuery_)
        return;
    auto query = PeerFrame {};
    query.wantsConfiguration = !upToDate;
    query.wantsDirectory = heartbeat.directoryEnd > fleet_.directoryEnd().value_or(0)
        && now - pacer_.lastDirectoryUpdate() > staleDirectory;
    if (!query.wantsConfiguration && !query.wantsDirectory)
        return;
    nextQuery_ = now + queryInterval;
    handlers_.send(from, query);
}

auto FleetSync::handle(Time now, DirectoryRead read) -> void
{
    const auto wasReachable = pacer_.isReachable();
    pacer_.directoryRead(now, read.page);
    metrics_.storeCall(static_cast<bool>(read.page));
    checkStoreReachability(wasReachable);
    if (!read.page)
        return;
    applyDirectoryPage(now, read.page.value(), std::nullopt);
    if (!isReader_)
        return;
    auto frame = PeerFrame {};
    frame.directory = std::move(read.page.value());
    handlers_.broadcast(frame);
}

auto FleetSync::handle(Time now, ConfigurationRead read) -> void
{
    const auto wasReachable = pacer_.isReachable();
    pacer_.configurationRead(now, read.content);
    metrics_.storeCall(static_cast<bool>(read.content));
    checkStoreReachability(wasReachable);
    if (read.content && read.content.value().configuration)
        applyConfiguration(std::move(*read.content.value().configuration), "store");
}

auto FleetSync::fleetJoined(Time now, bool succeeded) -> void
{
    pacer_.fleetJoined(now, succeeded);
    metrics_.storeCall(succeeded);
}

auto FleetSync::checkStoreReachability(bool wasReachable) -> void
{
    if (wasReachable == pacer_.isReachable())
        return;
    log_.write(pacer_.isReachable() ? LogLevel::Info : LogLevel::Warning,
        pacer_.isReachable() ? "store-regained" : "store-lost",
        { { "directory-end", std::to_string(fleet_.directoryEnd().value_or(0)) },
            { "configuration", std::to_string(fleet_.version()) } });
    handlers_.onStoreReachabilityChanged();
}

auto FleetSync::applyConfiguration(std::string json, std::string_view source) -> void
{
    if (!fleet_.applyConfiguration(std::move(json), source))
        return;
    metrics_.setConfiguration(fleet_.version());
    if (isReader_) {
        auto frame = PeerFrame {};
        frame.configuration = fleet_.configuration();
        handlers_.broadcast(frame);
    }
    handlers_.onFleetChanged();
}

auto FleetSync::applyDirectoryPage(Time now, const DirectoryPage& page, std::optional<RouterId> from) -> void
{
    const auto result = fleet_.applyDirectoryPage(now, page);
    if (result == FleetState::PageResult::Gap) {
        if (from && now >= nextQuery_) {
            nextQuery_ = now + queryInterval;
            auto query = PeerFrame {};
            query.wantsDirectory = true;
            handlers_.send(*from, query);
        }
        return;
    }
    pacer_.directoryUpdated(now);
    if (result == FleetState::PageResult::Changed)
        handlers_.onFleetChanged();
}

} // namespace camphorshunt::router
