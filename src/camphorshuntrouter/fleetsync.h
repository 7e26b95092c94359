#pragma once

#include <functional>
#include <optional>
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
        std::function<void(RouterId, const PeerFrame&)> send;
        std::function<void(const PeerFrame&)> broadcast;
        std::function<void(SchedulerToStore)> callStore;
        /** The configuration or the directory has changed. */
        std::function<void()> onFleetChanged;
        std::function<void()> onStoreReachabilityChanged;
    };

    FleetSync(std::string endpoint, Handlers handlers, RouterLog& log, RouterMetrics& metrics);

    auto tick(Time now, bool hasPeers) -> void;
    /** The router that reads the store for the fleet; `isSelf`: it is this one. */
    auto setReader(RouterId reader, bool isSelf) -> void;

    auto handleFrame(Time now, RouterId from, PeerFrame& frame) -> void;
    auto handle(Time now, DirectoryRead read) -> void;
    auto handle(Time now, ConfigurationRead read) -> void;
    auto fleetJoined(Time now, bool succeeded) -> void;

    /** When a read of the directory was last applied, this router's own or a peer's. */
    auto directoryReadAt() const -> Time { return pacer_.lastDirectoryUpdate(); }
    auto fleet() const -> const FleetState& { return fleet_; }
    auto isStoreReachable() const -> bool { return pacer_.isReachable(); }

private:
    auto applyConfiguration(std::string json, std::string_view source) -> void;
    auto applyDirectoryPage(Time now, const DirectoryPage& page, std::optional<RouterId> from) -> void;
    auto compareHeartbeat(Time now, RouterId from, const PeerHeartbeat& heartbeat) -> void;
    auto answerPeer(RouterId router, const PeerFrame& frame) -> void;
    auto checkStoreReachability(bool wasReachable) -> void;

    Handlers handlers_;
    RouterLog& log_;
    RouterMetrics& metrics_;
    FleetState fleet_;
    StorePacer pacer_;
    RouterId reader_;
    bool isReader_ = false;
    Time nextQuery_ {};
};

} // namespace camphorshunt::router
