#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "camphorshunt/endpoint.h"

#include "childprocess.h"
#include "testclient.h"

namespace camphorshunt::test {

struct FleetOptions {
    std::size_t routers = 3;
    std::size_t engines = 2;
    std::size_t slots = 4;
    double tokenMs = 2.0;
    std::vector<std::string> engineFlags;
    std::vector<std::string> serviceFlags;
    std::vector<std::string> logFlags;
    std::vector<std::string> daemonFlags;
    /** Slots of the plain service in its document; 0 takes `slots`. */
    std::size_t bookingSlots = 0;
    std::string policy = "fair";
    std::uint32_t shards = 1;
    std::uint32_t firstByteTimeoutMs = 15000;
    std::uint32_t gapTimeoutMs = 5000;
    std::uint32_t queuePerOrganisation = 1000;
};

/** A stand-in process and where it listens. */
struct StandIn {
    std::string name;
    std::unique_ptr<ChildProcess> process;
    Endpoint endpoint;

    auto fault(std::string_view json) const -> void;
};

/** A daemon process and where it listens. */
struct Router {
    std::string name;
    std::unique_ptr<ChildProcess> process;
    Endpoint callers;
    Endpoint admin;
    Endpoint peers;
};

/** Log, VM list, engines, one plain service and daemons on loopback, with two services published. */
class Fleet {
public:
    explicit Fleet(FleetOptions options);

    auto log() -> StandIn& { return log_; }
    auto vms() -> StandIn& { return vms_; }
    auto engine(std::size_t index) -> StandIn& { return engines_.at(index); }
    auto bookingService() -> StandIn& { return service_; }
    auto router(std::size_t index) -> Router& { return routers_.at(index); }
    auto size() const -> std::size_t { return routers_.size(); }

    /** Starts one more daemon, or a killed one anew with no memory, and tells the VM list. */
    auto startRouter(std::size_t index) -> void;
    /** Kills a daemon and starts a new one in its place. */
    auto restartRouter(std::size_t index) -> void;
    /** Kills all daemons, then starts as many that remember nothing. */
    auto restartAll() -> void;
    auto killRouter(std::size_t index) -> void { routers_.at(index).process->kill(); }
    /** SIGSTOP and SIGCONT. */
    auto pauseRouter(std::size_t index) -> void;
    auto continueRouter(std::size_t index) -> void;
    /** What GET /status of a daemon says; empty while it does not answer. */
    auto status(std::size_t index) -> std::string;
    /** The same as JSON; null while there is none. */
    auto statusJson(std::size_t index) -> boost::json::value;
    /** What waits in a daemon's queue of this service. */
    auto waiting(std::size_t index, std::string_view service) -> std::size_t;
    /** Version of the service's document on a daemon; 0 without one. */
    auto version(std::size_t index, std::string_view service) -> std::uint64_t;
    /** What a daemon's claims stream says of itself under this name, as a number. */
    auto claimsFigure(std::size_t index, std::string_view name) -> std::uint64_t;
    /** Waits until every running daemon is ready and counts all others as alive. */
    auto awaitMembers(std::size_t alive) -> bool;
    /** Index of the daemon that holds the duty of the assistant's first shard. */
    auto dispatcher() -> std::size_t;

    /** Publishes the current documents; changes between calls are made to `assistantDocument`. */
    auto publish(std::string_view document) -> void;
    /** Runs `camphorshuntctl publish` with more arguments and gives its exit code. */
    auto tryPublish(std::string_view document, std::vector<std::string> more = {}) -> int;
    auto assistantDocument(std::string_view dispatchExtra = {}) const -> std::string;
    auto bookingDocument() const -> std::string;
    auto publishVms(std::string_view leavingName = {}) -> void;

    /** A streamed request of organisation `org-<n>`. */
    static auto chat(std::size_t organisation, std::uint32_t tokens, std::string_view tag = {})
        -> net::HttpRequest;
    static auto booking(std::size_t organisation, std::string_view key) -> net::HttpRequest;
    /** A fresh UUID version 7. */
    static auto makeKey() -> std::string;
    /** How often the plain service has run a key. */
    auto runsOf(std::string_view key) -> std::int64_t;
    /** Removes a stream's records before `first` from the log; by default all that it has. */
    auto trim(std::string_view stream, std::optional<std::uint64_t> first = {}) -> void;
    auto endOfStream(std::string_view stream) -> std::uint64_t;
    /** What an upstream is running at this moment. */
    static auto running(const StandIn& upstream) -> std::uint64_t;
    /** How many streams an engine has ever begun to run. */
    static auto started(const StandIn& engine) -> std::uint64_t;

private:
    auto startStandIn(std::string name, std::vector<std::string> arguments) -> StandIn;

    FleetOptions options_;
    StandIn log_;
    StandIn vms_;
    std::vector<StandIn> engines_;
    StandIn service_;
    std::vector<Router> routers_;
};

} // namespace camphorshunt::test
