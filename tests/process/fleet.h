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
    /** Slots of the plain service in its document; 0 means the same as `slots`. */
    std::size_t bookingSlots = 0;
    std::string policy = "fair";
    std::uint32_t shards = 1;
    std::uint32_t firstByteTimeoutMs = 15000;
    std::uint32_t gapTimeoutMs = 5000;
    std::uint32_t queuePerOrganisation = 1000;
};

/** A running stand-in (test double process) and its listening endpoint. */
struct StandIn {
    std::string name;
    std::unique_ptr<ChildProcess> process;
    Endpoint endpoint;

    /** Injects a fault, described as the stand-in's /admin/faults expects. */
    auto fault(std::string_view json) const -> void;
};

/** A camphorshuntd process and its listening endpoints. */
struct Router {
    std::string name;
    std::unique_ptr<ChildProcess> process;
    Endpoint callers;
    Endpoint admin;
    Endpoint peers;
};

/**
 * A test fleet on loopback: stand-ins for the log, the VM list, the engines and one plain service, and the
 * daemons. The constructor publishes the documents of two services, `assistant` and `booking`, and starts all
 * daemons.
 */
class Fleet {
public:
    explicit Fleet(FleetOptions options);

    auto log() -> StandIn& { return log_; }
    auto vms() -> StandIn& { return vms_; }
    auto engine(std::size_t index) -> StandIn& { return engines_.at(index); }
    auto bookingService() -> StandIn& { return service_; }
    auto router(std::size_t index) -> Router& { return routers_.at(index); }
    auto size() const -> std::size_t { return routers_.size(); }

    /** Starts a daemon with empty state, also in place of a killed one, and publishes the VM list. */
    auto startRouter(std::size_t index) -> void;
    /** Kills a daemon and starts a new one with empty state under the same name. */
    auto restartRouter(std::size_t index) -> void;
    /** Kills all daemons before it starts the first new one, so that no state survives in the fleet. */
    auto restartAll() -> void;
    auto killRouter(std::size_t index) -> void { routers_.at(index).process->kill(); }
    /** Stops the process with SIGSTOP; `continueRouter` resumes it with SIGCONT. */
    auto pauseRouter(std::size_t index) -> void;
    auto continueRouter(std::size_t index) -> void;
    /** Body of a daemon's GET /status; empty if it does not answer. */
    auto status(std::size_t index) -> std::string;
    /** Body of a daemon's GET /status as JSON; null if it does not answer with JSON. */
    auto statusJson(std::size_t index) -> boost::json::value;
    /** Number of requests that wait in a daemon's queue of this service. */
    auto waiting(std::size_t index, std::string_view service) -> std::size_t;
    /** Version of the service's document on a daemon; 0 without one. */
    auto version(std::size_t index, std::string_view service) -> std::uint64_t;
    /** A number from a daemon's status of its first claims stream, by field name; 0 without an answer. */
    auto claimsStatusNumber(std::size_t index, std::string_view name) -> std::uint64_t;
    /** Waits until every running daemon is ready, counts `alive` live members and has its claims ready. */
    auto awaitMembers(std::size_t alive) -> bool;
    /** Waits for a dispatcher of the assistant's first shard and returns its index; `size()` if none. */
    auto dispatcher() -> std::size_t;

    /** Publishes a service document; throws if `camphorshuntctl publish` fails. */
    auto publish(std::string_view document) -> void;
    /** Runs `camphorshuntctl publish` with these additional arguments and returns its exit code. */
    auto tryPublish(std::string_view document, std::vector<std::string> more = {}) -> int;
    /** `dispatchExtra` is a JSON object whose entries are set in the document's `dispatch` section. */
    auto assistantDocument(std::string_view dispatchExtra = {}) const -> std::string;
    auto bookingDocument() const -> std::string;
    /** Sets the list that the VM list stand-in serves; the VM of this name is listed as leaving. */
    auto publishVms(std::string_view leavingName = {}) -> void;

    /** A streamed request of organisation `org-<n>`. */
    static auto chat(std::size_t organisation, std::uint32_t tokens, std::string_view tag = {})
        -> net::HttpRequest;
    static auto booking(std::size_t organisation, std::string_view key) -> net::HttpRequest;
    /** A new UUID version 7, as an idempotency key. */
    static auto makeKey() -> std::string;
    /** Number of times that the plain service has executed the request with this key. */
    auto executionCount(std::string_view key) -> std::int64_t;
    /** Removes a stream's records before `first` from the log; without `first`, all records. */
    auto trim(std::string_view stream, std::optional<std::uint64_t> first = {}) -> void;
    auto endOfStream(std::string_view stream) -> std::uint64_t;
    /** Number of requests that an upstream is executing now. */
    static auto running(const StandIn& upstream) -> std::uint64_t;
    /** Number of streams that an engine has started since its process began. */
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
