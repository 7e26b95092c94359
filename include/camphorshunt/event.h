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

/** A caller's complete request; the body stays with the callers thread. */
struct RequestArrived {
    RequestId request;
    std::string service;
    std::string operation;
    /** SHA-256 hex of the bearer key; empty when the caller sent none. */
    std::string keyDigest;
    std::string idempotencyKey;
    /** Zero when the caller named no deadline. */
    Duration deadline {};
    std::uint32_t promptTokens {};
    std::uint32_t outputTokens {};
    std::uint32_t bodyBytes {};
};

/** The caller closed its connection or cancelled. */
struct CallerGone {
    RequestId request;
};

/** Tokens streamed so far, absolute. */
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
    /** Number of the last whole stream event passed to the caller, over all attempts; 0 if none. */
    std::uint32_t eventsPassed {};
    /** True once the status line has gone to the caller. */
    bool headPassed {};
    /** The upstream says that it is leaving. */
    bool leaving {};
};

/** An engine's lagging view of itself. */
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

/** A peer passed the handshake. */
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

/** One answer to a read of a log stream. */
struct LogRead {
    std::string stream;
    /** The first offset that is still kept. */
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
    /** The log answered that it did not take the record. */
    Refused,
    /** No answer: the record may land, now or later. */
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
    /** The peer end point of a router; the service end point of an upstream. */
    Endpoint endpoint;
    std::string failureDomain;
    bool leaving {};
};

struct VmsListed {
    std::vector<VmEntry> vms;
};

struct VmListUnavailable { };

/** Stop taking work, finish what runs, then exit. */
struct DrainRequested { };

/** Time passed; sent every `CoreSettings::tick`. */
struct Tick { };

using Event = std::variant<RequestArrived, CallerGone, AttemptProgress, AttemptEnded, LoadReported,
    LoadFailed, PeerConnected, PeerDisconnected, PeerReceived, LogRead, LogUnavailable, AppendEnded,
    VmsListed, VmListUnavailable, DrainRequested, Tick>;

} // namespace camphorshunt
