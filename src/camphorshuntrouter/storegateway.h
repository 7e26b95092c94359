#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/ring.h"
#include "camphorshunt/time.h"

#include "evacuation/evacuations.h"
#include "peerframe.h"

#include "platform/storeclient.h"

namespace camphorshunt::router {

// Calls that the scheduler requests. Each is answered exactly once.

struct ReadDirectory {
    /** Log offset of the first record to read; empty to read the entire directory. */
    std::optional<std::uint64_t> from;
};
struct ReadConfiguration {
    /** Log offset of the first record to read; empty to read the newest configuration. */
    std::optional<std::uint64_t> from;
    /** Long poll: how long the store may wait for a new record. */
    std::chrono::milliseconds wait {};
};
/** Registers this router's address in the store, and may read those of all routers. */
struct JoinFleet {
    RouterAddress self;
    bool readsOthers = true;
};
/** Stores a prompt part in quarantine for routers that start later, or removes it if it is released. */
struct StoreQuarantine {
    PeerQuarantine quarantine;
};
struct ReadQuarantines { };
using SchedulerToStore
    = std::variant<ReadDirectory, ReadConfiguration, JoinFleet, StoreQuarantine, ReadQuarantines>;

struct DirectoryRead {
    Result<DirectoryPage> page;
    /** When the answer arrived at this router. */
    Time answeredAt {};
};
struct ConfigurationRead {
    struct Content {
        /** The newest configuration, if there is one among the records read. */
        std::optional<std::string> configuration;
        /** Log offset at which the next read starts. */
        std::uint64_t end = 0;
        /** Of the store; zero if unknown. */
        std::uint64_t era = 0;
        /** Records that could not be decoded. */
        std::size_t unreadable = 0;
        EvacuationRead evacuations {};
    };
    Result<Content> content;
    /** When the answer arrived at this router. */
    Time answeredAt {};
};
struct FleetJoined {
    Result<std::vector<RouterAddress>> routers;
};
struct QuarantineStored {
    PeerQuarantine quarantine;
    Result<void> done;
};
struct QuarantinesRead {
    struct Content {
        std::vector<PeerQuarantine> quarantines;
        /** Records that could not be decoded. */
        std::size_t unreadable = 0;
    };
    Result<Content> content;
};
using StoreToScheduler
    = std::variant<DirectoryRead, ConfigurationRead, FleetJoined, QuarantineStored, QuarantinesRead>;

/** Calls the platform's store on behalf of the scheduler. Used on the store thread. */
class StoreGateway {
public:
    StoreGateway(
        boost::asio::io_context& context, const Endpoint& store, Ring<StoreToScheduler>& toScheduler);

    auto handleMessage(const SchedulerToStore& message) -> void;
    /** Sends later calls to this store. */
    auto setStore(const Endpoint& store) -> void { client_.setEndpoint(store); }

private:
    using PageHandler = std::function<void(Result<platform::KeyedPage>)>;

    auto handle(const ReadDirectory& read) -> void;
    auto handle(const ReadConfiguration& read) -> void;
    auto handle(const JoinFleet& join) -> void;
    auto handle(const StoreQuarantine& store) -> void;
    auto handle(const ReadQuarantines& read) -> void;
    auto readRouters() -> void;
    /** Reads the newest record of each key of a topic, page by page. */
    auto readAll(std::string topic, platform::KeyedPage readSoFar, PageHandler handler) -> void;

    platform::StoreClient client_;
    Ring<StoreToScheduler>& toScheduler_;
};

} // namespace camphorshunt::router
