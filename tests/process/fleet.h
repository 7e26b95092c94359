#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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
    /** What GET /status of a daemon says; empty while it does not answer. */
    auto status(std::size_t index) -> std::string;
    /** Waits until every running daemon is ready and counts all others as alive. */
    auto awaitMembers(std::size_t alive) -> bool;
    /** Index of the daemon that holds the duty of the assistant's first shard. */
    auto dispatcher() -> std::size_t;

    /** Publishes the current documents; changes between calls are made to `assistantDocument`. */
    auto publish(std::string_view document) -> void;
    auto assistantDocument(std::string_view dispatchExtra = {}) const -> std::string;
    auto bookingDocument() const -> std::string;
    auto tellVms(std::string_view leavingName = {}) -> void;

    /** A streamed request of organisation `org-<n>`. */
    static auto chat(std::size_t organisation, std::uint32_t tokens, std::string_view tag = {})
        -> net::HttpRequest;
    static auto booking(std::size_t organisation, std::string_view key) -> net::HttpRequest;
    /** A fresh UUID version 7. */
    static auto makeKey() -> std::string;
    /** How often the plain service has run a key. */
    auto runsOf(std::string_view key) -> std::int64_t;

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
