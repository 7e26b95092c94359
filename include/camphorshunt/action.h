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

/** Outcome of a request as reported to its caller. */
enum class RequestOutcome : std::uint8_t {
    /** The complete answer was forwarded. */
    Done,
    /** The request was not executed and never will be. */
    NotRun,
    /** The request may have been executed. */
    Unknown,
    /** The upstream executed the request and answered with an error, or the request was invalid. */
    Failed,
};

/** Name used in headers, bodies, logs and traces. */
auto outcomeName(RequestOutcome outcome) -> std::string_view;

/** Answers a caller to which no byte has been sent yet. */
struct AnswerCaller {
    RequestId request;
    std::uint16_t status {};
    RequestOutcome outcome {};
    /** Machine-readable reason, for example `queue-full`. */
    std::string reason;
    /** Zero for no `Retry-After` header. */
    Duration retryAfter {};
};

/** Ends a caller's answer, either completely or so that the caller can see that it was truncated. */
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
    /** Name of a registered `UpstreamKind`. */
    std::string upstreamKind;
    std::string operation;
    /** Open a new connection instead of reusing one; for requests that must not be repeated. */
    bool freshConnection {};
    /** Number of the event after which the stream continues; 0 to start from the beginning. */
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

/** Requests an upstream's load report. */
struct PollLoad {
    UpstreamId upstream;
    Endpoint endpoint;
    std::string upstreamKind;
};

/** Keeps a connection to this peer open, or closes it if the endpoint is empty. */
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

/** Reads a stream from this offset on and continues with new records as they arrive. */
struct TailLog {
    std::string stream;
    Offset from;
};

struct SetReady {
    bool ready {};
};

/** Ends the process, since the drain is complete. */
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

/** Writes a log line about a decision that an operator should see. */
struct WriteLog {
    LogLevel level {};
    std::string event;
    std::vector<LogField> fields;
};

/** A step in the processing of a request, for spans and metrics. */
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
