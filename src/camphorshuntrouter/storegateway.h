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

#include "peerframe.h"

#include "platform/storeclient.h"

namespace camphorshunt::router {

/** Calls that the scheduler asks for. Each is answered once. */
struct ReadDirectory {
    /** The first record to read; empty for all that is there. */
    std::optional<std::uint64_t> from;
};
struct ReadConfiguration {
    /** The first record to read; empty for the newest configuration. */
    std::optional<std::uint64_t> from;
    /** How long the store may wait for a record. */
    std::chrono::milliseconds wait {};
};
/** Lists this router's address among those of the fleet, and reads the others'. */
struct JoinFleet {
    std::string endpoint;
};
using SchedulerToStore = std::variant<ReadDirectory, ReadConfiguration, JoinFleet>;

struct DirectoryRead {
    Result<DirectoryPage> page;
};
struct ConfigurationRead {
    struct Content {
        /** The newest configuration, if there is one among the records read. */
        std::optional<std::string> configuration;
        std::uint64_t end = 0;
    };
    Result<Content> content;
};
struct FleetJoined {
    Result<std::vector<std::string>> endpoints;
};
using StoreToScheduler = std::variant<DirectoryRead, ConfigurationRead, FleetJoined>;

/** The duty that calls the platform's store; the scheduler says when. */
class StoreGateway {
public:
    StoreGateway(
        boost::asio::io_context& context, const Endpoint& store, Ring<StoreToScheduler>& toScheduler);

    auto handleMessage(const SchedulerToStore& message) -> void;
    /** Calls go to this store from now on. */
    auto setStore(const Endpoint& store) -> void { client_.setEndpoint(store); }

private:
    using PageHandler = std::function<void(Result<platform::KeyedPage>)>;

    auto handle(const ReadDirectory& read) -> void;
    auto handle(const ReadConfiguration& read) -> void;
    auto handle(const JoinFleet& join) -> void;
    auto readRouters() -> void;
    /** All newest records of a topic, however many pages they fill. */
    auto readAll(std::string topic, platform::KeyedPage readSoFar, PageHandler handler) -> void;

    platform::StoreClient client_;
    Ring<StoreToScheduler>& toScheduler_;
};

} // namespace camphorshunt::router
