#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "camphorshunt/placement.h"
#include "camphorshunt/result.h"
#include "camphorshunt/upstreamentry.h"

#include "evacuation/evacuations.h"

namespace camphorshunt::router {

/** The first message of each end of a connection. */
struct PeerHello {
    /** Address on which the router listens for peers; identifies it while it runs. */
    std::string endpoint;
    /** Differs between lifetimes of processes at one address. */
    std::uint64_t incarnation = 0;
    double processorShare = 0;
    /** Hash of the router's failure domain; zero from a build that does not send it. */
    std::uint64_t failureDomain = 0;

    /** It sends no presence, reads plain addresses only, and counts peers as silent after 420 ms. */
    auto isFromOldBuild() const -> bool { return failureDomain == 0; }
};

/** What a router needs to know of another one before it connects to it. */
struct RouterAddress {
    /** Address on which the router listens for peers. */
    std::string endpoint;
    /** Cores of its VM, may be a fraction; zero if unknown. */
    double processorShare = 0;
    /** Hash of its failure domain; zero if unknown. */
    std::uint64_t failureDomain = 0;
};

/** Sent with each heartbeat; differs between receivers. */
struct PeerPresence {
    /** Number of routers connected to the sender, itself included. */
    std::uint32_t routers = 0;
    /** Time until the sender's next heartbeat. */
    std::chrono::milliseconds interval {};
    /** Time since the sender's configuration was last confirmed to be the newest. */
    std::chrono::milliseconds configurationAge {};
    /** The sender depends on the receiver, for placing or for updates, and needs its frequent heartbeats. */
    bool dependsOnReceiver = false;
};

/** Lets the receiver tell how long ago a frame was sent, although the routers' clocks differ. */
struct PeerClock {
    /** The sender's clock, in microseconds; not zero. Others only echo it. */
    std::uint64_t sent = 0;
    /** The last `sent` that the sender has received from the receiver; zero before the first. */
    std::uint64_t echoed = 0;
    /** Time since the sender has received that. */
    Duration held {};
};

/** State of a router, sent several times a second. */
struct PeerHeartbeat {
    std::uint64_t configurationVersion = 0;
    /** Log offset up to which the sender has applied the directory. */
    std::uint64_t directoryEnd = 0;
    bool storeReachable = false;
    /** The router is shutting down and takes no role. */
    bool leaving = false;
    /** Era of the store to which `directoryEnd` belongs; zero if unknown. */
    std::uint64_t directoryEra = 0;
    /** As of which the evacuations are known. */
    LogPosition evacuations {};
};

/**
 * A request that needs an engine, or one that runs already and is reported to a new placer. Durations count
 * from the time of sending, as the routers' clocks differ.
 */
struct PeerPlacementRequest {
    PlacementRequest request;
    Duration goalLeft {};
    Duration deadlineLeft {};
    std::optional<UpstreamId> runningAt;
    bool started = false;
};

/** The placer's answer to a `PeerPlacementRequest`. */
struct PeerPlacementDecision {
    std::uint64_t number = 0;
    ServiceId service;
    /** Empty if the request is refused. */
    std::optional<UpstreamId> upstream;
    /** Engine from which to copy the cached prefix of the prompt. */
    std::optional<UpstreamId> copyFrom;
    RefusalReason reason {};
    std::chrono::milliseconds retryAfter {};
    PlacementInputs inputs;
};

enum class PeerReportKind : std::uint8_t { Withdrawn, Started, Ended };

/** Informs the placer of a change of a request that it has placed or holds waiting. */
struct PeerReport {
    std::uint64_t number = 0;
    ServiceId service;
    PeerReportKind kind {};
    PlacementEnd end {};
};

/**
 * What an engine has said of itself in an answer to the sender. Leaving concerns all routers, a rest the
 * sender alone.
 */
struct PeerAvailability {
    ServiceId service;
    UpstreamProcess process;
    bool leaving = false;
    /** Counts from the time of sending; zero if the engine does not rest. */
    std::chrono::milliseconds rest {};
};

/** A prompt part under which engines of a service crash; times count from the time of sending. */
struct PeerQuarantine {
    ServiceId service;
    std::uint64_t part = 0;
    std::chrono::milliseconds left {};
    std::chrono::milliseconds length {};
    /** Engines answer requests with the part again. */
    bool released = false;
    /** Only requests that have these parts too are kept away. */
    std::vector<std::uint64_t> with {};
};

/** A request that broke off as its engine ended, as the router has seen it that places requests. */
struct PeerCrash {
    ServiceId service;
    UpstreamProcess process;
    /** Shared parts of the request's prompt. */
    std::vector<std::uint64_t> parts;
    /** Times from the placing of the request and from its break to the sending. */
    std::chrono::milliseconds sincePlaced {};
    std::chrono::milliseconds sinceBreak {};
    /** The engine has answered since, so that the break counts against no part. */
    bool lives = false;
    /** The engine is known to have ended. */
    bool ended = false;
};

struct DirectoryRecord {
    std::string name;
    /** Empty if the entry is removed. */
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/** Records of the upstream directory in log order, or a snapshot of its entire content. */
struct DirectoryPage {
    bool isSnapshot = false;
    std::uint64_t from = 0;
    std::uint64_t end = 0;
    std::vector<DirectoryRecord> records;
    /** Time from the read of the store to the sending of the page. */
    std::chrono::milliseconds age {};
    /** Records of the store that could not be decoded; not sent to peers. */
    std::size_t unreadable = 0;
    /** Era of the store to which the offsets belong; zero if unknown, as from older builds. */
    std::uint64_t era = 0;
};

/** The unit of transfer between routers; only the parts that are set are encoded. */
struct PeerFrame {
    std::optional<PeerHello> hello;
    /** Addresses alone, for builds that do not read `addresses`. */
    std::vector<std::string> members;
    std::optional<PeerHeartbeat> heartbeat;
    std::vector<PeerPlacementRequest> placementRequests;
    std::vector<PeerPlacementDecision> placementDecisions;
    std::vector<PeerReport> reports;
    std::optional<DirectoryPage> directory;
    bool wantsDirectory = false;
    /** The operators' configuration, as JSON text. */
    std::optional<std::string> configuration;
    bool wantsConfiguration = false;
    /** The first routers in the order in which hubs are chosen. */
    std::vector<RouterAddress> addresses;
    std::optional<PeerPresence> presence;
    std::vector<PeerAvailability> availability;
    std::vector<PeerQuarantine> quarantines;
    std::vector<PeerCrash> crashes;
    std::optional<EvacuationState> evacuation;
    /** Set in heartbeats and in what is passed on from the store; never by older builds. */
    std::optional<PeerClock> clock;
};

/** FlatBuffers bytes (schema `fleet.fbs`). */
auto encodePeerFrame(const PeerFrame& frame) -> std::vector<std::uint8_t>;

/** Verifies the bytes before any field is read. */
auto decodePeerFrame(std::span<const std::uint8_t> bytes) -> Result<PeerFrame>;

} // namespace camphorshunt::router
