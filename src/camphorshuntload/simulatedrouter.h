#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleetcontrol.h"
#include "simulatednetwork.h"
#include "simulatedstore.h"

namespace camphorshunt::load {

/** The control plane of one router, connected to the simulated network and store. */
class SimulatedRouter : public SimulatedNetwork::Process {
public:
    /** What all routers of a simulation share. */
    struct World {
        EventQueue& events;
        SimulatedNetwork& network;
        SimulatedStore& store;
        router::RouterLog& log;
        router::RouterMetrics& metrics;
        std::function<void(std::size_t host, const router::PeerPlacementDecision&)> onDecision;
        std::map<RouterId, std::size_t> hosts = {};
        /** Indexed by host. */
        std::vector<RouterId> routers = {};
    };
    /** Sums over the life of the simulation. */
    struct Work {
        std::uint64_t framesSent = 0;
        std::uint64_t framesReceived = 0;
        std::uint64_t bytesSent = 0;
        std::uint64_t bytesReceived = 0;
        /** Connections that the router has accepted. */
        std::uint64_t accepted = 0;
        std::uint64_t dials = 0;
        /** Grants of a place at an engine, for this router's requests and those of others. */
        std::uint64_t grants = 0;
        /** Real time that the code has taken. */
        std::chrono::nanoseconds processor {};

        auto operator-(const Work& earlier) const -> Work;
    };

    SimulatedRouter(World& world, router::PeerHello self, std::size_t failureDomain);

    auto host() const -> std::size_t { return host_; }
    auto self() const -> const router::PeerHello& { return self_; }
    auto id() const -> RouterId { return idOf<RouterId>(self_.endpoint); }
    /** Starts a new process that knows the seeds only. */
    auto start(const std::vector<std::string>& seeds) -> void;
    auto stop(bool powerOff) -> void;
    auto isReady() const -> bool { return control_ && state_->ready; }
    auto control() const -> const router::FleetControl& { return *control_; }
    auto handle(router::RelayToScheduler message) -> void;
    auto connections() const -> std::size_t { return links_.size(); }
    auto work() const -> const Work& { return work_; }

    auto accepted(const SimulatedNetwork::ConnectionPointer& connection) -> void override;
    auto opened(const SimulatedNetwork::ConnectionPointer& connection) -> void override;
    auto received(const SimulatedNetwork::ConnectionPointer& connection, const SimulatedNetwork::Bytes& bytes)
        -> void override;
    auto ended(const SimulatedNetwork::ConnectionPointer& connection, std::string_view reason, bool refused)
        -> void override;

private:
    template <typename Step> auto run(Step step) -> void;
    auto makeControl() -> void;
    auto armTick() -> void;
    auto dialDue() -> void;
    auto sendFrame(RouterId router, const router::PeerFrame& frame) -> void;
    auto sendHello(const SimulatedNetwork::ConnectionPointer& connection) -> void;
    auto encoded(const router::PeerFrame& frame) -> SimulatedNetwork::Bytes;
    auto helloReceived(const SimulatedNetwork::ConnectionPointer& connection, const router::PeerHello& hello)
        -> void;
    auto routerAt(const SimulatedNetwork::ConnectionPointer& connection) const -> RouterId;

    World& world_;
    router::PeerHello self_;
    std::size_t host_;
    std::unique_ptr<router::SharedState> state_;
    std::unique_ptr<router::FleetControl> control_;
    std::map<RouterId, SimulatedNetwork::ConnectionPointer> links_;
    std::map<RouterId, SimulatedNetwork::ConnectionPointer> dialling_;
    Duration tickPeriod_ {};
    std::uint64_t tickNumber_ = 0;
    Work work_;
};

} // namespace camphorshunt::load
