#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

/** What a caller is told of its request. */
enum class RequestOutcome : std::uint8_t {
    /** The whole answer was passed on. */
    Done,
    /** It was not run and never will be. */
    NotRun,
    /** It may have run. */
    Unknown,
    /** It ran and the upstream answered with an error, or the caller's request was wrong. */
    Failed,
};

/** The word used in headers, bodies, logs and traces. */
auto outcomeName(RequestOutcome outcome) -> std::string_view;

/** Answers a caller to whom no byte has gone yet. */
struct AnswerCaller {
    RequestId request;
    std::uint16_t status {};
    RequestOutcome outcome {};
    /** Machine-readable reason, for example `queue-full`. */
    std::string reason;
    /** Zero for no `Retry-After` header. */
    Duration retryAfter {};
};

/** Ends a caller's answer: whole, or cut off visibly. */
struct FinishCaller {
    RequestId request;
    RequestOutcome outcome {};
    std::string reason;
};

struct SendAttempt {
    RequestId request;
    std::uint32_t attempt {};
    UpstreamId upstream;
    Endpoint endpoint;
    /** Registered upstream kind. */
    std::string upstreamKind;
    std::string operation;
    /** A connection never used before, for work that must not repeat. */
    bool freshConnection {};
    /** Continue the stream after this event; 0 starts from the beginning. */
    std::uint32_t resumeAfter {};
    std::uint64_t fencingNumber {};
    Duration connectTimeout {};
    Duration firstByteTimeout {};
    Duration gapTimeout {};
};

struct CancelAttempt {
    RequestId request;
    std::uint32_t attempt {};
};

/** Asks for an upstream's load report. */
struct PollLoad {
    UpstreamId upstream;
    Endpoint endpoint;
    std::string upstreamKind;
};

/** Keep a connection to this peer, or end it when the endpoint is empty. */
struct KeepPeer {
    RouterId router;
    Endpoint endpoint;
};

struct SendPeer {
    RouterId router;
    PeerMessage message;
};

struct AppendLog {
    AppendId append;
    std::string stream;
    std::string body;
};

/** Read a stream from this offset on, and go on as records come. */
struct TailLog {
    std::string stream;
    Offset from;
};

struct SetReady {
    bool ready {};
};

/** The drain is over. */
struct Exit { };

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

struct LogField {
    std::string name;
    std::string value;
};

/** A decision worth telling an operator. */
struct WriteLog {
    LogLevel level {};
    std::string event;
    std::vector<LogField> fields;
};

/** A step in a request's life, for spans and metrics. */
enum class RequestStep : std::uint8_t {
    Queued,
    ClaimAppended,
    ClaimWon,
    Granted,
    Sent,
    Retried,
    Ended,
};

struct NoteStep {
    RequestId request;
    RequestStep step {};
    OrganisationId organisation;
    ServiceId service;
    UpstreamId upstream;
    RequestOutcome outcome {};
};

using Action = std::variant<AnswerCaller, FinishCaller, SendAttempt, CancelAttempt, PollLoad, KeepPeer,
    SendPeer, AppendLog, TailLog, SetReady, Exit, WriteLog, NoteStep>;

using Actions = std::vector<Action>;

} // namespace camphorshunt
