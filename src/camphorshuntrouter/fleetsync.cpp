#include "fleetsync.h"

#include <algorithm>
#include <utility>

#include "clock.h"

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

/** Minimum time between queries to peers for a newer configuration or directory. */
constexpr auto queryInterval = Duration(150ms);
constexpr auto staleDirectory = Duration(700ms);
/** Time for an update to arrive from the feed, before another peer is asked for it. */
constexpr auto feedTime = Duration(300ms);
/** Minimum time between forwarded pages of the directory without a change. */
constexpr auto forwardInterval = Duration(200ms);

} // namespace

FleetSync::FleetSync(RouterAddress self, Handlers handlers, RouterLog& log, RouterMetrics& metrics)
    : handlers_(std::move(handlers))
    , log_(log)
    , metrics_(metrics)
    , fleet_(log)
    , pacer_(std::move(self))
{
}

auto FleetSync::tick(Time now, const FleetView& view) -> void
{
    if (fleet_.removeExpired(now))
        handlers_.onFleetChanged(now);
    const auto state = StorePacer::RouterState { .directoryEnd = fleet_.directoryEnd(),
        .hasConfiguration = fleet_.table() != nullptr,
        .isReader = isReader_,
        .hasPeers = view.hasPeers,
        .isHub = view.isHub,
        .fleetSize = view.size };
    auto calls = pacer_.dueCalls(now, state);
    if (!isReader_ && view.hasPeers)
        logOwnReads(now, calls);
    for (auto& call : calls)
        handlers_.callStore(std::move(call));
}

auto FleetSync::logOwnReads(Time now, std::span<const SchedulerToStore> calls) -> void
{
    const auto isRead = [](const SchedulerToStore& call) { return !std::holds_alternative<JoinFleet>(call); };
    if (std::ranges::none_of(calls, isRead))
        return;
    log_.write(LogLevel::Info, "store-read",
        { { "feed", std::to_string(feed_.value) },
            { "configuration-age-ms", std::to_string(inMilliseconds(configurationAge(now)).count()) },
            { "directory-age-ms", std::to_string(directoryAge(now).count()) } });
}

auto FleetSync::directoryAge(Time now) const -> std::chrono::milliseconds
{
    return inMilliseconds(now - pacer_.lastDirectoryUpdate());
}

auto FleetSync::setFeed(RouterId feed, bool isReader) -> void
{
    feed_ = feed;
    isReader_ = isReader;
}

auto FleetSync::handleFrame(Time now, RouterId from, PeerFrame& frame, std::optional<Time> sentAt) -> void
{
    if (frame.configuration)
        applyConfiguration(now, std::move(*frame.configuration), from);
    if (frame.evacuation)
        applyEvacuations(now, *frame.evacuation);
    if (frame.directory)
        applyDirectoryPage(now, *frame.directory, from,
            sentAt ? std::optional(*sentAt - frame.directory->age) : std::nullopt);
    if (frame.heartbeat)
        compareHeartbeat(now, from, frame, sentAt);
    answerPeer(now, from, frame);
}

auto FleetSync::answerPeer(Time now, RouterId router, const PeerFrame& frame) -> void
{
    if (!frame.wantsConfiguration && !frame.wantsDirectory)
        return;
    auto answer = PeerFrame {};
    if (frame.wantsConfiguration && fleet_.table())
        answer.configuration = fleet_.configuration();
    if (frame.wantsConfiguration && fleet_.evacuations().position() != LogPosition {})
        answer.evacuation = fleet_.evacuations().state();
    if (frame.wantsDirectory && fleet_.directoryEnd())
        answer.directory = fleet_.directorySnapshot();
    if (answer.directory)
        answer.directory->age = directoryAge(now);
    handlers_.send(now, router, std::move(answer));
}

auto FleetSync::compareHeartbeat(Time now, RouterId from, const PeerFrame& frame, std::optional<Time> sentAt)
    -> void
{
    const auto& heartbeat = *frame.heartbeat;
    if (sentAt && from == feed_ && heartbeat.configurationVersion <= fleet_.version()) {
        // A peer without presence is an old build, whose feed is the reader itself.
        const auto age = frame.presence ? Duration(frame.presence->configurationAge) : Duration {};
        if (frame.presence || heartbeat.storeReachable)
            pacer_.configurationConfirmed(*sentAt - age);
    }
    queryIfBehind(now, from, heartbeat);
}

auto FleetSync::queryIfBehind(Time now, RouterId from, const PeerHeartbeat& heartbeat) -> void
{
    auto query = PeerFrame {};
    query.wantsConfiguration = heartbeat.configurationVersion > fleet_.version()
        || heartbeat.evacuations > fleet_.evacuations().position();
    const auto era = heartbeat.directoryEra == 0 ? fleet_.directoryEra() : heartbeat.directoryEra;
    query.wantsDirectory = std::pair(era, heartbeat.directoryEnd)
            > std::pair(fleet_.directoryEra(), fleet_.directoryEnd().value_or(0))
        && now - pacer_.lastDirectoryUpdate() > staleDirectory;
    if (!query.wantsConfiguration && !query.wantsDirectory) {
        if (from == feed_)
            behindSince_ = {};
        return;
    }
    if (behindSince_ == Time {})
        behindSince_ = now;
    const auto knowsNothing = !fleet_.table() || !fleet_.directoryEnd();
    if (now < nextQuery_ || (from != feed_ && !knowsNothing && now - behindSince_ < feedTime))
        return;
    nextQuery_ = now + queryInterval;
    handlers_.send(now, from, query);
}

auto FleetSync::handle(Time now, DirectoryRead read) -> void
{
    const auto wasReachable = pacer_.isReachable();
    pacer_.directoryRead(now, read.page, read.answeredAt);
    metrics_.storeCall(static_cast<bool>(read.page));
    checkStoreReachability(now, wasReachable);
    if (!read.page)
        return;
    logUnreadable("upstreams", std::exchange(read.page.value().unreadable, 0));
    const auto result
        = applyDirectoryPage(now, read.page.value(), std::nullopt, pacer_.lastDirectoryUpdate());
    const auto isApplied
        = result != FleetState::PageResult::Gap && result != FleetState::PageResult::Outdated;
    if (!isApplied) {
        log_.write(LogLevel::Info, "directory-page-dropped",
            { { "era", std::to_string(read.page.value().era) },
                { "era-known", std::to_string(fleet_.directoryEra()) },
                { "from", std::to_string(read.page.value().from) } });
        // The store's state is older than the known one, and stays so until the next return.
        if (result == FleetState::PageResult::Gap)
            pacer_.requireSnapshot(now);
    }
    if (!isReader_ || !isApplied)
        return;
    auto frame = PeerFrame {};
    frame.directory = std::move(read.page.value());
    frame.directory->age = directoryAge(now);
    handlers_.publish(now, std::move(frame));
}

auto FleetSync::handle(Time now, ConfigurationRead read) -> void
{
    const auto wasReachable = pacer_.isReachable();
    pacer_.configurationRead(now, read.content, read.answeredAt);
    metrics_.storeCall(static_cast<bool>(read.content));
    checkStoreReachability(now, wasReachable);
    if (read.content)
        logUnreadable("operators", read.content.value().unreadable);
    if (read.content && read.content.value().configuration)
        applyConfiguration(now, std::move(*read.content.value().configuration), std::nullopt);
    if (read.content)
        applyEvacuations(now, read.content.value().evacuations);
}

auto FleetSync::logUnreadable(std::string_view topic, std::size_t records) -> void
{
    if (records > 0) {
        log_.write(LogLevel::Warning, "store-record-unreadable",
            { { "topic", std::string(topic) }, { "records", std::to_string(records) } });
    }
}

auto FleetSync::fleetJoined(Time now, bool succeeded) -> void
{
    pacer_.fleetJoined(now, succeeded);
    metrics_.storeCall(succeeded);
}

auto FleetSync::checkStoreReachability(Time now, bool wasReachable) -> void
{
    if (wasReachable == pacer_.isReachable())
        return;
    log_.write(pacer_.isReachable() ? LogLevel::Info : LogLevel::Warning,
        pacer_.isReachable() ? "store-regained" : "store-lost",
        { { "directory-end", std::to_string(fleet_.directoryEnd().value_or(0)) },
            { "configuration", std::to_string(fleet_.version()) } });
    handlers_.onStoreReachabilityChanged(now);
}

template <typename News> auto FleetSync::applyEvacuations(Time now, const News& news) -> void
{
    const auto before = fleet_.evacuations().position();
    const auto changed = fleet_.applyEvacuations(now, news);
    if (fleet_.evacuations().position() == before)
        return;
    auto frame = PeerFrame {};
    frame.evacuation = fleet_.evacuations().state();
    if (isReader_)
        handlers_.publish(now, std::move(frame));
    else
        handlers_.forward(now, std::move(frame));
    if (changed)
        handlers_.onFleetChanged(now);
}

auto FleetSync::applyConfiguration(Time now, std::string json, std::optional<RouterId> from) -> void
{
    if (!fleet_.applyConfiguration(std::move(json), from ? "peer" : "store"))
        return;
    metrics_.setConfiguration(fleet_.version());
    behindSince_ = {};
    auto frame = PeerFrame {};
    frame.configuration = fleet_.configuration();
    if (isReader_)
        handlers_.publish(now, std::move(frame));
    else
        handlers_.forward(now, std::move(frame));
    handlers_.onFleetChanged(now);
}

auto FleetSync::applyDirectoryPage(Time now, const DirectoryPage& page, std::optional<RouterId> from,
    std::optional<Time> readAt) -> FleetState::PageResult
{
    const auto eraBefore = fleet_.directoryEra();
    const auto result = fleet_.applyDirectoryPage(now, page);
    if (result == FleetState::PageResult::Outdated)
        return result;
    if (result == FleetState::PageResult::Gap) {
        if (from && now >= nextQuery_) {
            nextQuery_ = now + queryInterval;
            auto query = PeerFrame {};
            query.wantsDirectory = true;
            handlers_.send(now, *from, query);
        }
        return result;
    }
    if (eraBefore != 0 && fleet_.directoryEra() != eraBefore)
        handlers_.onStoreReturned(now);
    if (readAt)
        pacer_.directoryUpdated(*readAt);
    const auto changed = result == FleetState::PageResult::Changed;
    if (from == feed_)
        forwardDirectory(now, page, changed);
    if (changed)
        handlers_.onFleetChanged(now);
    return result;
}

auto FleetSync::forwardDirectory(Time now, const DirectoryPage& page, bool changed) -> void
{
    if (!changed && now < nextForward_)
        return;
    nextForward_ = now + forwardInterval;
    auto frame = PeerFrame {};
    frame.directory = page;
    frame.directory->age = directoryAge(now);
    handlers_.forward(now, std::move(frame));
}

} // namespace camphorshunt::router
