#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string_view>
#include <vector>

#include "eventqueue.h"

namespace camphorshunt::load {

/**
 * VMs and the connections between their processes, in simulated time: delays, cuts of links, paused and slow
 * processes, and VMs without power. Bytes that meet a cut are sent again after it; a connection whose bytes
 * are stalled for too long fails at both ends.
 */
class SimulatedNetwork {
public:
    using Bytes = std::vector<std::uint8_t>;

    /** One connection; the end with index 0 has dialled. */
    struct Connection {
        std::array<std::size_t, 2> hosts {};
        std::array<std::uint64_t, 2> lives {};
        std::array<bool, 2> isOpen { true, true };
        std::array<bool, 2> helloReceived {};
        /** When the last bytes in the direction from an end arrive. */
        std::array<Time, 2> lastArrival {};
        std::array<std::vector<Bytes>, 2> stalled;
        std::array<Time, 2> stalledSince {};

        auto endOf(std::size_t host) const -> std::size_t { return hosts[0] == host ? 0 : 1; }
        auto other(std::size_t host) const -> std::size_t { return hosts[1 - endOf(host)]; }
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    /** The process on a VM. */
    class Process {
    public:
        virtual ~Process() = default;
        virtual auto accepted(const ConnectionPointer& connection) -> void = 0;
        virtual auto opened(const ConnectionPointer& connection) -> void = 0;
        virtual auto received(const ConnectionPointer& connection, const Bytes& bytes) -> void = 0;
        virtual auto ended(const ConnectionPointer& connection, std::string_view reason, bool refused) -> void
            = 0;
    };

    struct Settings {
        std::uint64_t seed = 1;
        Duration hop {};
        Duration otherDomainHop {};
    };

    SimulatedNetwork(EventQueue& events, const Settings& settings);

    auto addHost(Process& process, std::size_t failureDomain) -> std::size_t;
    auto start(std::size_t host) -> void;
    /** Ends the process; `powerOff`: the VM, too, so that the other ends are not told. */
    auto stop(std::size_t host, bool powerOff) -> void;
    auto setPaused(std::size_t host, bool paused) -> void;
    /** Delays all that the process does. */
    auto setSlowness(std::size_t host, Duration slowness) -> void { hosts_[host].slowness = slowness; }
    /** True if bytes of the first host do not reach the second one. */
    using Cut = std::function<bool(std::size_t from, std::size_t to)>;
    auto setCut(Cut cut) -> void;

    auto isRunning(std::size_t host) const -> bool { return hosts_[host].state == State::Running; }
    auto isPaused(std::size_t host) const -> bool { return hosts_[host].paused; }
    auto isActive(std::size_t host) const -> bool { return isRunning(host) && !isPaused(host); }
    auto reaches(std::size_t from, std::size_t to) const -> bool { return !cut_ || !cut_(from, to); }

    /** Runs the action in the host's process unless that has ended by then. */
    auto later(std::size_t host, Duration delay, EventQueue::Action action) -> void;
    auto dial(std::size_t from, std::size_t to) -> ConnectionPointer;
    auto send(const ConnectionPointer& connection, std::size_t from, Bytes bytes) -> void;
    auto close(const ConnectionPointer& connection, std::size_t from) -> void;

private:
    enum class State : std::uint8_t { Off, NoProcess, Running };
    struct Host {
        Process* process = nullptr;
        std::size_t failureDomain = 0;
        State state = State::Off;
        std::uint64_t life = 0;
        bool paused = false;
        Duration slowness {};
        /** What has arrived or fallen due during a pause. */
        std::vector<EventQueue::Action> pending;
        /** Ordered by the time of dialling, so that all runs with one seed are the same. */
        std::vector<ConnectionPointer> connections;
        /** Connections whose other ends do not know that the VM has lost power. */
        std::vector<ConnectionPointer> forgotten;
    };

    auto hopTime(std::size_t from, std::size_t to) -> Duration;
    auto retransmission() -> Duration;
    auto runAt(std::size_t host, std::uint64_t life, EventQueue::Action action) -> void;
    auto arriveDial(const ConnectionPointer& connection) -> void;
    auto arrive(const ConnectionPointer& connection, std::size_t end, Bytes bytes) -> void;
    auto deliver(const ConnectionPointer& connection, std::size_t end, Bytes bytes) -> void;
    auto stall(const ConnectionPointer& connection, std::size_t end, Bytes bytes) -> void;
    auto flush(const ConnectionPointer& connection, std::size_t end) -> void;
    /** Ends one end of the connection, and tells its process. */
    auto end(const ConnectionPointer& connection, std::size_t end, std::string_view reason,
        bool refused = false) -> void;
    auto release(const ConnectionPointer& connection, std::size_t end) -> void;

    EventQueue& events_;
    Settings settings_;
    std::vector<Host> hosts_;
    Cut cut_;
    std::mt19937_64 random_;
};

} // namespace camphorshunt::load
