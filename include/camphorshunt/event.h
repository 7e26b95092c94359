#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "camphorshunt/attemptresult.h"
#include "camphorshunt/endpoint.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

/** A complete request arrived from a caller; its body stays in the callers thread. */
struct RequestArrived {
    RequestId request;
    std::string service;
    std::string operation;
    /** SHA-256 of the bearer key in hex; empty if the caller sent none. */
    std::string keyDigest;
    std::string idempotencyKey;
    /** Zero if the caller sent no deadline. */
    Duration deadline {};
    std::uint32_t promptTokens {};
    std::uint32_t outputTokens {};
    std::uint32_t bodyBytes {};
};

/** The caller closed its connection or cancelled its request. */
struct CallerGone {
    RequestId request;
};

/** Progress of a stream; counts are totals, not increments. */
struct AttemptProgress {
    RequestId request;
    std::uint32_t attempt {};
    std::uint32_t outputTokens {};
};

struct AttemptEnded {
    RequestId request;
    std::uint32_t attempt {};
    AttemptResult result {};
    std::uint32_t promptTokens {};
    std::uint32_t outputTokens {};
    /** Number of the last complete stream event sent to the caller in any attempt; 0 if none. */
    std::uint32_t eventsPassed {};
    /** True if the status line has been sent to the caller. */
    bool headPassed {};
    /** The upstream reported that it is leaving. */
    bool leaving {};
};

/** An engine's report of its own load, which lags behind its actual load. */
struct LoadReported {
    UpstreamId upstream;
    std::uint32_t running {};
    std::uint32_t waiting {};
    std::uint32_t slots {};
    bool leaving {};
};

struct LoadFailed {
    UpstreamId upstream;
};

/** A peer completed the handshake. */
struct PeerConnected {
    RouterId router;
    Incarnation incarnation;
};

struct PeerDisconnected {
    RouterId router;
};

struct PeerReceived {
    RouterId router;
    PeerMessage message;
};

struct LogRecord {
    Offset offset;
    std::string body;
};

/** The answer to one read of a log stream. */
struct LogRead {
    std::string stream;
    /** The first offset that is still stored. */
    Offset first;
    /** The offset after the last one in the stream. */
    Offset end;
    std::vector<LogRecord> records;
};

struct LogUnavailable {
    std::string stream;
};

enum class AppendOutcome : std::uint8_t {
    Landed,
    /** The log answered that it did not append the record. */
    Refused,
    /** No answer: the record may have been appended, or may still be. */
    Unknown,
};

struct AppendEnded {
    AppendId append;
    AppendOutcome outcome {};
    Offset offset;
};

enum class VmRole : std::uint8_t {
    Router,
    Upstream,
};

struct VmEntry {
    std::string name;
    VmRole role {};
    /** A router's endpoint for peers, or an upstream's endpoint for requests. */
    Endpoint endpoint;
    std::string failureDomain;
    bool leaving {};
};

struct VmsListed {
    std::vector<VmEntry> vms;
};

struct VmListUnavailable { };

/** Request to accept no new work, finish running requests and then exit. */
struct DrainRequested { };

/** Periodic event, sent every `CoreSettings::tick`. */
struct Tick { };

using Event = std::variant<RequestArrived, CallerGone, AttemptProgress, AttemptEnded, LoadReported,
    LoadFailed, PeerConnected, PeerDisconnected, PeerReceived, LogRead, LogUnavailable, AppendEnded,
    VmsListed, VmListUnavailable, DrainRequested, Tick>;

} // namespace camphorshunt
