#pragma once

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/ids.h"
#include "camphorshunt/time.h"

#include "fleetstate.h"
#include "peerframe.h"
#include "routerlog.h"
#include "routermetrics.h"
#include "storegateway.h"
#include "storepacer.h"

namespace camphorshunt::router {

/**
 * Keeps this router's configuration and directory up to date: reads the store when `StorePacer` says so,
 * passes on what the store's reader has read, and asks peers that have something newer.
 */
class FleetSync {
public:
    struct Handlers {
        std::function<void(Time now, RouterId, PeerFrame)> send;
        /** Sends to all hubs, and to the routers that depend on this one. */
        std::function<void(Time now, PeerFrame)> publish;
        /** Sends to the routers that depend on this one and are no hubs. */
        std::function<void(Time now, PeerFrame)> forward;
        std::function<void(SchedulerToStore)> callStore;
        /** The configuration or the directory has changed. */
        std::function<void(Time now)> onFleetChanged;
        std::function<void(Time now)> onStoreReachabilityChanged;
        /** The store has come back from an older copy. */
        std::function<void(Time now)> onStoreReturned;
    };

    FleetSync(RouterAddress self, Handlers handlers, RouterLog& log, RouterMetrics& metrics);

    struct FleetView {
        bool hasPeers = false;
        bool isHub = false;
        std::size_t size = 1;
    };
    auto tick(Time now, const FleetView& view) -> void;
    /**
     * `feed`: the router from which this one gets updates: the one that reads the store for the fleet, or a
     * hub between the two. `isReader`: this router reads the store itself.
     */
    auto setFeed(RouterId feed, bool isReader) -> void;

    /** `sentAt`: the frame was not sent before that; empty if nothing is known of it. */
    auto handleFrame(Time now, RouterId from, PeerFrame& frame, std::optional<Time> sentAt) -> void;
    auto handle(Time now, DirectoryRead read) -> void;
    auto handle(Time now, ConfigurationRead read) -> void;
    /** Writes this router's record again, at a time of its own. */
    auto rejoinFleet(Time now, std::size_t fleetSize) -> void { pacer_.storeReturned(now, fleetSize); }
    auto fleetJoined(Time now, bool succeeded) -> void;

    /** When the store has answered with the newest page of the directory that was applied, to any router. */
    auto directoryReadAt() const -> Time { return pacer_.lastDirectoryUpdate(); }
    auto fleet() const -> const FleetState& { return fleet_; }
    /** Time since this router's configuration was last confirmed to be the newest. */
    auto configurationAge(Time now) const -> Duration { return now - pacer_.lastConfigurationUpdate(); }
    /** Zero before the first confirmation. */
    auto configurationConfirmedAt() const -> Time { return pacer_.lastConfigurationUpdate(); }
    auto feed() const -> RouterId { return feed_; }
    auto isStoreReachable() const -> bool { return pacer_.isReachable(); }

private:
    /** Tells other routers of the evacuations in force, after a read or what a peer has told. */
    template <typename News> auto applyEvacuations(Time now, const News& news) -> void;
    auto applyConfiguration(Time now, std::string json, std::optional<RouterId> from) -> void;
    /** `readAt`: the store has not answered with the page before that; empty if nothing is known of it. */
    auto applyDirectoryPage(Time now, const DirectoryPage& page, std::optional<RouterId> from,
        std::optional<Time> readAt) -> FleetState::PageResult;
    auto compareHeartbeat(Time now, RouterId from, const PeerFrame& frame, std::optional<Time> sentAt)
        -> void;
    auto queryIfBehind(Time now, RouterId from, const PeerHeartbeat& heartbeat) -> void;
    auto forwardDirectory(Time now, const DirectoryPage& page, bool changed) -> void;
    auto directoryAge(Time now) const -> std::chrono::milliseconds;
    auto logOwnReads(Time now, std::span<const SchedulerToStore> calls) -> void;
    auto answerPeer(Time now, RouterId router, const PeerFrame& frame) -> void;
    auto checkStoreReachability(Time now, bool wasReachable) -> void;
    auto logUnreadable(std::string_view topic, std::size_t records) -> void;

    Handlers handlers_;
    RouterLog& log_;
    RouterMetrics& metrics_;
    FleetState fleet_;
    StorePacer pacer_;
    RouterId feed_;
    bool isReader_ = false;
    Time nextQuery_ {};
    /** Since when peers have shown that this router's configuration or directory is not the newest. */
    Time behindSince_ {};
    Time nextForward_ {};
};

} // namespace camphorshunt::router
