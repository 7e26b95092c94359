#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "camphorshunt/placement.h"
#include "camphorshunt/result.h"

namespace camphorshunt::router {

/** The first thing that each end of a connection says. */
struct PeerHello {
    /** Where it listens for peers; names it as long as it runs. */
    std::string endpoint;
    /** Differs between runs at one address. */
    std::uint64_t incarnation = 0;
    double processorShare = 0;
};

/** What a router says of itself several times a second. */
struct PeerHeartbeat {
    std::uint64_t configurationVersion = 0;
    std::uint64_t directoryEnd = 0;
    bool storeReachable = false;
    /** It is shutting down and takes no duty. */
    bool leaving = false;
};

/** A request that asks for a place, or one that runs already. Times are left from when it is sent. */
struct PeerPlacementRequest {
    PlacementRequest request;
    Duration goalLeft {};
    Duration deadlineLeft {};
    std::optional<UpstreamId> runningAt;
    bool started = false;
};

struct PeerPlacementDecision {
    std::uint64_t number = 0;
    ServiceId service;
    /** Empty if the request is refused. */
    std::optional<UpstreamId> upstream;
    /** Engine to copy the beginning of the prompt from. */
    std::optional<UpstreamId> copyFrom;
    RefusalReason reason {};
    std::chrono::milliseconds retryAfter {};
    PlacementInputs inputs;
};

enum class PeerReportKind : std::uint8_t { Withdrawn, Started, Ended };

struct PeerReport {
    std::uint64_t number = 0;
    ServiceId service;
    PeerReportKind kind {};
    PlacementEnd end {};
};

struct DirectoryRecord {
    std::string name;
    /** Empty if the entry is removed. */
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/** Records of the upstream directory in the order of the log, or its whole content. */
struct DirectoryPage {
    bool isSnapshot = false;
    std::uint64_t from = 0;
    std::uint64_t end = 0;
    std::vector<DirectoryRecord> records;
};

/** All that goes over a connection at once. */
struct PeerFrame {
    std::optional<PeerHello> hello;
    std::vector<std::string> members;
    std::optional<PeerHeartbeat> heartbeat;
    std::vector<PeerPlacementRequest> placementRequests;
    std::vector<PeerPlacementDecision> placementDecisions;
    std::vector<PeerReport> reports;
    std::optional<DirectoryPage> directory;
    bool wantsDirectory = false;
    /** The operators' configuration as they wrote it. */
    std::optional<std::string> configuration;
    bool wantsConfiguration = false;
};

/** FlatBuffers bytes (schema `fleet.fbs`). */
auto encodePeerFrame(const PeerFrame& frame) -> std::vector<std::uint8_t>;

/** Verifies the bytes before any field is read. */
auto decodePeerFrame(std::span<const std::uint8_t> bytes) -> Result<PeerFrame>;

} // namespace camphorshunt::router
