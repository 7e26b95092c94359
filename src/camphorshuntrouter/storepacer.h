#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "camphorshunt/time.h"

#include "storegateway.h"

namespace camphorshunt::router {

/**
 * Schedules the calls to the store. One router, the reader, reads the store for the whole fleet; the others
 * call it only when they have not received an update from the reader for some time.
 */
class StorePacer {
public:
    explicit StorePacer(RouterAddress self)
        : self_(std::move(self))
    {
    }

    struct RouterState {
        std::optional<std::uint64_t> directoryEnd;
        bool hasConfiguration = false;
        bool isReader = false;
        bool hasPeers = false;
        /** Keeps the fleet together, and therefore looks for routers that it does not know of. */
        bool isHub = false;
        /** Routers in the fleet, which share the store's rate. */
        std::size_t fleetSize = 1;
    };

    /** Calls to make now. A call of one kind is not due again before its result has been reported. */
    auto dueCalls(Time now, const RouterState& state) -> std::vector<SchedulerToStore>;

    // The answer arrived at `answeredAt`, and may have waited for the scheduler until now.
    auto directoryRead(Time now, const Result<DirectoryPage>& page, Time answeredAt) -> void;
    auto configurationRead(Time now, const Result<ConfigurationRead::Content>& content, Time answeredAt)
        -> void;
    auto fleetJoined(Time now, bool succeeded) -> void;
    /** A page of the directory was applied that was the newest at that time. */
    auto directoryUpdated(Time at) -> void { lastDirectoryUpdate_ = std::max(lastDirectoryUpdate_, at); }
    /** A peer shows that this router's configuration was the newest at that time. */
    auto configurationConfirmed(Time at) -> void
    {
        lastConfigurationUpdate_ = std::max(lastConfigurationUpdate_, at);
    }

    /** The offsets known of the directory are of no use any more. */
    auto requireSnapshot(Time now) -> void;
    /** The store has come back from an older copy, which may lack this router's own record. */
    auto storeReturned(Time now, std::size_t fleetSize) -> void;

    /** Whether the last read was answered. */
    auto isReachable() const -> bool { return reachable_; }
    auto lastConfigurationUpdate() const -> Time { return lastConfigurationUpdate_; }
    auto lastDirectoryUpdate() const -> Time { return lastDirectoryUpdate_; }

private:
    auto directoryDue(Time now, const RouterState& state) const -> bool;
    auto configurationDue(Time now, const RouterState& state) const -> bool;
    /** Whether a router that has just started still waits for what its peers know. */
    auto awaitsPeers(Time now, const RouterState& state) const -> bool;
    /** Pause after a read: longer in large fleets, as all may have lost the reader at once. */
    auto pauseOf(Duration pause) const -> Duration { return scaled(pause, pauseFactor_); }

    RouterAddress self_;
    bool reachable_ = true;
    double pauseFactor_ = 1;
    bool directoryRequested_ = false;
    bool configurationRequested_ = false;
    bool joinRequested_ = false;
    /** The present or last read of the configuration waits for changes. */
    bool longPolls_ = false;
    Time configurationRequestedAt_ {};
    /** The store has expired the records that follow `directoryEnd`; the entire directory must be read. */
    bool directoryExpired_ = false;
    std::optional<std::uint64_t> configurationEnd_;
    /** Era of the store to which `configurationEnd_` belongs; zero if unknown. */
    std::uint64_t configurationEra_ = 0;
    Time startedAt_ {};
    Time nextDirectory_ {};
    Time nextConfiguration_ {};
    Time nextJoin_ {};
    Time joinedAt_ {};
    Time lastDirectoryUpdate_ {};
    Time lastConfigurationUpdate_ {};
};

} // namespace camphorshunt::router
