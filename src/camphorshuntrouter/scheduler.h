#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "camphorshunt/result.h"
#include "camphorshunt/ring.h"

#include "fleetstate.h"
#include "peerbook.h"
#include "peermesh.h"
#include "placementduty.h"
#include "relaymessages.h"
#include "routerlog.h"
#include "routermetrics.h"
#include "storeduty.h"
#include "storepacer.h"

namespace camphorshunt::router {

/**
 * The duty that decides: what is known of the fleet, who is in touch, who does what for all, and where
 * requests for engines go.
 */
class Scheduler {
public:
    struct Settings {
        Endpoint listen;
        std::vector<Endpoint> seeds;
        double processorShare = 1;
        /** Differs between runs. */
        std::uint64_t run = 0;
        Placer::Settings placing;
    };

    struct Rings {
        Ring<SchedulerToRelay>& toRelay;
        Ring<SchedulerToStore>& toStore;
    };

    static auto create(boost::asio::io_context& context, const Settings& settings, const Rings& rings,
        RouterLog& log, RouterMetrics& metrics, std::atomic<bool>& ready)
        -> Result<std::unique_ptr<Scheduler>>;

    auto take(RelayToScheduler message) -> void;
    auto take(StoreToScheduler message) -> void;
    /** Hands duties over and finishes. On the scheduler's thread. */
    auto startDrain() -> void;
    auto know(std::span<const Endpoint> seeds) -> void;

private:
    Scheduler(boost::asio::io_context& context, const Settings& settings, const Rings& rings, RouterLog& log,
        RouterMetrics& metrics, std::atomic<bool>& ready);

    auto open() -> Result<void>;
    auto tick() -> void;
    auto armTick() -> void;
    auto beat() const -> PeerBeat;
    auto sendBeat() -> void;
    auto callStore(Time now) -> void;

    auto connected(RouterId router, const PeerHello& hello) -> void;
    auto disconnected(RouterId router, std::string_view reason) -> void;
    auto frameArrived(RouterId router, PeerFrame frame) -> void;
    auto answerPeer(RouterId router, const PeerFrame& frame) -> void;
    auto compareBeat(Time now, RouterId router, const PeerBeat& beat) -> void;
    auto checkLiveness(Time now) -> void;
    auto routersChanged(Time now) -> void;
    auto liveRouters() const -> std::vector<LiveRouter>;
    auto isReader() const -> bool { return reader_ == mesh_->self(); }

    auto handle(RequestPlacement request) -> void;
    auto handle(const PeerReport& report) -> void;
    auto handle(DirectoryRead read) -> void;
    auto handle(ConfigurationRead read) -> void;
    auto handle(const FleetJoined& joined) -> void;

    auto takeConfiguration(std::string json, std::string_view source) -> void;
    auto takePage(Time now, const DirectoryPage& page, std::optional<RouterId> from) -> void;
    auto fleetChanged(Time now) -> void;
    auto noteStore(bool wasReachable) -> void;
    auto settle() -> void;
    auto flushFrames() -> void;

    boost::asio::io_context& context_;
    Settings settings_;
    Rings rings_;
    RouterLog& log_;
    RouterMetrics& metrics_;
    std::atomic<bool>& ready_;
    boost::asio::steady_timer timer_;
    FleetState fleet_;
    StorePacer pacer_;
    std::unique_ptr<PeerMesh> mesh_;
    std::unique_ptr<PlacementDuty> placement_;
    PeerBook peers_;
    /** Frames that nothing waits for, until the next urgent one. */
    std::map<RouterId, PeerFrame> unsent_;
    RouterId reader_;
    Time lastTick_ {};
    Time nextBeat_ {};
    Time nextFlush_ {};
    Time nextAsk_ {};
    bool ticksOften_ = false;
    bool draining_ = false;
};

} // namespace camphorshunt::router
