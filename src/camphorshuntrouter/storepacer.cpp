#include "storepacer.h"

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

/** The reader's period; an upstream must get nothing new two seconds after it said that it leaves. */
constexpr auto directoryInterval = Duration(milliseconds(400));
/** How long the store may hold a read of the configuration until there is something new. */
constexpr auto configurationWait = milliseconds(1000);
/** Without news for so long a router calls the store itself. */
constexpr auto longestWithoutNews = Duration(milliseconds(900));
constexpr auto longestWithoutConfiguration = Duration(milliseconds(1400));
constexpr auto ownConfigurationInterval = Duration(milliseconds(800));
/** Pause after a call that failed. Refused calls cost as much as others. */
constexpr auto failurePause = Duration(milliseconds(500));
constexpr auto joinPause = Duration(milliseconds(1000));
/** A router without peers looks for them again after this. */
constexpr auto lonelyInterval = Duration(milliseconds(3000));

} // namespace

auto StorePacer::directoryDue(Time now, const Known& known) const -> bool
{
    if (directoryAsked_ || now < nextDirectory_)
        return false;
    return known.isReader || !known.directoryEnd || !reachable_ || now - directoryNews_ > longestWithoutNews;
}

auto StorePacer::configurationDue(Time now, const Known& known) const -> bool
{
    if (configurationAsked_ || now < nextConfiguration_)
        return false;
    return known.isReader || !known.hasConfiguration
        || now - configurationNews_ > longestWithoutConfiguration;
}

auto StorePacer::due(Time now, const Known& known) -> std::vector<SchedulerToStore>
{
    auto calls = std::vector<SchedulerToStore> {};
    if (directoryDue(now, known)) {
        directoryAsked_ = true;
        const auto whole = directoryLost_ || !known.directoryEnd;
        calls.emplace_back(ReadDirectory { whole ? std::nullopt : known.directoryEnd });
    }
    if (configurationDue(now, known)) {
        configurationAsked_ = true;
        const auto waits = known.isReader && known.hasConfiguration;
        calls.emplace_back(
            ReadConfiguration { configurationEnd_, waits ? configurationWait : milliseconds(0) });
    }
    if (!joinAsked_ && now >= nextJoin_) {
        joinAsked_ = true;
        calls.emplace_back(JoinFleet { endpoint_ });
    }
    if (known.hasPeers && nextJoin_ < now + lonelyInterval)
        nextJoin_ = now + lonelyInterval;
    return calls;
}

auto StorePacer::directoryRead(Time now, const Result<DirectoryPage>& page) -> void
{
    directoryAsked_ = false;
    if (page) {
        reachable_ = true;
        directoryLost_ = false;
        directoryNews_ = now;
        nextDirectory_ = now + directoryInterval;
        return;
    }
    directoryLost_ = page.error().code == Error::Code::NotFound;
    reachable_ = directoryLost_;
    nextDirectory_ = directoryLost_ ? now : now + failurePause;
}

auto StorePacer::configurationRead(Time now, const Result<ConfigurationRead::Content>& content) -> void
{
    configurationAsked_ = false;
    if (content) {
        reachable_ = true;
        configurationNews_ = now;
        configurationEnd_ = content.value().end;
        nextConfiguration_ = now + ownConfigurationInterval;
        return;
    }
    const auto lost = content.error().code == Error::Code::NotFound;
    if (lost)
        configurationEnd_.reset();
    reachable_ = lost;
    nextConfiguration_ = lost ? now : now + failurePause;
}

auto StorePacer::fleetJoined(Time now, bool succeeded) -> void
{
    joinAsked_ = false;
    nextJoin_ = now + (succeeded ? lonelyInterval : joinPause);
}

} // namespace camphorshunt::router
