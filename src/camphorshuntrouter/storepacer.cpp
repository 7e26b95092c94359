#include "storepacer.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

/** Period of the reader. An upstream must receive no new requests 2 s after it announced that it leaves. */
constexpr auto directoryInterval = Duration(milliseconds(400));
/** Long-poll time of the reader's reads of the configuration, and the minimum time between two of them. */
constexpr auto configurationWait = milliseconds(700);
constexpr auto minPollInterval = Duration(milliseconds(200));
/** Without an update from the reader for this long, a router reads the store itself. */
constexpr auto maxDirectoryAge = Duration(milliseconds(900));
constexpr auto maxConfigurationAge = Duration(milliseconds(1400));
constexpr auto configurationInterval = Duration(milliseconds(800));
/** Pause after a failed read: refused calls cost the store as much as others. */
constexpr auto failurePause = Duration(milliseconds(500));
/** Size of a fleet above which its routers call the store less often, unless they read it for the others. */
constexpr auto pausedFleetSize = 64.0;
constexpr auto joinRetryPause = Duration(milliseconds(1000));
/** Time after a start to connect to the first peers, and for these to pass on what they know. If all routers
 * of a large fleet start together, only the hubs read the store. */
constexpr auto connectTime = Duration(milliseconds(100));
constexpr auto peersTime = Duration(milliseconds(400));
/** Period in which a router without peers reads the addresses of the fleet again. */
constexpr auto joinInterval = Duration(milliseconds(3000));
/** Period in which a hub with peers reads them again: the parts of a fleet that was cut for long, or for
 * which the store has lost records, find each other by it. */
constexpr auto joinRefreshInterval = Duration(milliseconds(30000));

/** After the store's return all routers write their records again, spread over this time and more in large
 * fleets. */
constexpr auto minRejoinSpread = Duration(milliseconds(1000));
constexpr auto rejoinSpreadPerRouter = Duration(milliseconds(10));

} // namespace

auto StorePacer::directoryDue(Time now, const RouterState& state) const -> bool
{
    if (directoryRequested_ || now < nextDirectory_ || (!state.directoryEnd && awaitsPeers(now, state)))
        return false;
    return state.isReader || !state.directoryEnd || !reachable_
        || now - lastDirectoryUpdate_ > maxDirectoryAge;
}

auto StorePacer::awaitsPeers(Time now, const RouterState& state) const -> bool
{
    const auto age = now - startedAt_;
    return age < connectTime || (state.hasPeers && !state.isHub && age < peersTime);
}

auto StorePacer::configurationDue(Time now, const RouterState& state) const -> bool
{
    if (configurationRequested_ || now < nextConfiguration_
        || (!state.hasConfiguration && awaitsPeers(now, state)))
        return false;
    return state.isReader || !state.hasConfiguration || now - lastConfigurationUpdate_ > maxConfigurationAge;
}

auto StorePacer::dueCalls(Time now, const RouterState& state) -> std::vector<SchedulerToStore>
{
    auto calls = std::vector<SchedulerToStore> {};
    if (startedAt_ == Time {}) {
        startedAt_ = now;
        nextJoin_ = now + peersTime;
    }
    pauseFactor_ = state.isReader ? 1.0 : std::max(1.0, double(state.fleetSize) / pausedFleetSize);
    if (directoryDue(now, state)) {
        directoryRequested_ = true;
        const auto readsAll = directoryExpired_ || !state.directoryEnd;
        calls.emplace_back(ReadDirectory { readsAll ? std::nullopt : state.directoryEnd });
    }
    if (configurationDue(now, state)) {
        configurationRequested_ = true;
        configurationRequestedAt_ = now;
        longPolls_ = state.isReader && state.hasConfiguration;
        calls.emplace_back(
            ReadConfiguration { configurationEnd_, longPolls_ ? configurationWait : milliseconds(0) });
    }
    if (!joinRequested_ && now >= nextJoin_) {
        joinRequested_ = true;
        calls.emplace_back(JoinFleet { self_, !state.hasPeers || state.isHub });
    }
    const auto refreshes = state.isHub && now - joinedAt_ >= joinRefreshInterval;
    const auto hasJoined = joinedAt_ != Time {};
    if (hasJoined && state.hasPeers && !refreshes && nextJoin_ < now + joinInterval)
        nextJoin_ = now + joinInterval;
    return calls;
}

auto StorePacer::directoryRead(Time now, const Result<DirectoryPage>& page, Time answeredAt) -> void
{
    directoryRequested_ = false;
    if (page) {
        reachable_ = true;
        directoryExpired_ = false;
        directoryUpdated(answeredAt);
        nextDirectory_ = now + pauseOf(directoryInterval);
        return;
    }
    directoryExpired_ = page.error().code == Error::Code::NotFound;
    reachable_ = directoryExpired_;
    nextDirectory_ = directoryExpired_ ? now : now + pauseOf(failurePause);
}

auto StorePacer::requireSnapshot(Time now) -> void
{
    directoryExpired_ = true;
    nextDirectory_ = now;
}

auto StorePacer::storeReturned(Time now, std::size_t fleetSize) -> void
{
    const auto spread = std::max(minRejoinSpread, rejoinSpreadPerRouter * static_cast<int>(fleetSize));
    const auto hash = XXH64(self_.endpoint.data(), self_.endpoint.size(), 0);
    joinedAt_ = {};
    nextJoin_ = now + Duration(static_cast<Duration::rep>(hash % static_cast<std::uint64_t>(spread.count())));
}

auto StorePacer::configurationRead(
    Time now, const Result<ConfigurationRead::Content>& content, Time answeredAt) -> void
{
    configurationRequested_ = false;
    if (content) {
        reachable_ = true;
        const auto era = std::exchange(configurationEra_, content.value().era);
        if (configurationEnd_ && era != configurationEra_) {
            // Read from an offset of another era, which says nothing about the newest configuration.
            configurationEnd_.reset();
            nextConfiguration_ = now;
            return;
        }
        configurationConfirmed(answeredAt);
        configurationEnd_ = content.value().end;
        nextConfiguration_
            = longPolls_ ? configurationRequestedAt_ + minPollInterval : now + pauseOf(configurationInterval);
        return;
    }
    const auto expired = content.error().code == Error::Code::NotFound;
    if (expired)
        configurationEnd_.reset();
    reachable_ = expired;
    nextConfiguration_ = expired ? now : now + pauseOf(failurePause);
}

auto StorePacer::fleetJoined(Time now, bool succeeded) -> void
{
    joinRequested_ = false;
    if (succeeded)
        joinedAt_ = now;
    nextJoin_ = now + (succeeded ? joinInterval : joinRetryPause);
}

} // namespace camphorshunt::router
