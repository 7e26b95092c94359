#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "camphorshunt/action.h"
#include "camphorshunt/event.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/ring.h"

namespace camphorshunt {

/** The parts of a request that the upstreams thread needs; sent before the core receives the request. */
struct NewBody {
    RequestId request;
    std::string idempotencyKey;
    std::string contentType;
    std::string traceparent;
    std::shared_ptr<const std::string> body;
};

/** The caller of a request has disconnected or been answered; its body is no longer needed. */
struct DropBody {
    RequestId request;
};

/** This many bytes of the answer were written to the caller's socket. */
struct Credit {
    RequestId request;
    std::size_t bytes {};
};

struct AnswerHead {
    RequestId request;
    std::uint16_t status {};
    std::string contentType;
};

struct AnswerChunk {
    RequestId request;
    std::string bytes;
};

/** An answer in one piece: an upstream's complete success or its error answer. */
struct CompleteAnswer {
    RequestId request;
    std::uint16_t status {};
    std::string contentType;
    RequestOutcome outcome {};
    std::string body;
};

struct StatusRequest {
    std::uint64_t id {};
};

struct StatusAnswer {
    std::uint64_t id {};
    std::string text;
};

/** A request was received from a caller and parsed. */
struct RequestOpened {
    RequestId request;
    /** As the caller wrote it; a service of this name need not exist. */
    std::string service;
    std::string traceparent;
    Time at;
};

/** The first byte of an answer is being sent to the caller. */
struct FirstByteSent {
    RequestId request;
    Time at;
};

/** The end of a request was sent to the caller, or the caller has disconnected. */
struct RequestClosed {
    RequestId request;
    /** Name of an outcome, or `caller-gone`. */
    std::string outcome;
    /** Reason code of the daemon; empty if there is none. */
    std::string reason;
    Time at;
};

struct StepRecorded {
    NoteStep step;
    Time at;
};

struct AttemptRecorded {
    RequestId request;
    std::uint32_t attempt {};
    AttemptResult result {};
    Time at;
};

using CallersToUpstreams = std::variant<NewBody, DropBody, Credit>;
using UpstreamsToCallers = std::variant<AnswerHead, AnswerChunk, CompleteAnswer>;
using SchedulerToCallers = std::variant<AnswerCaller, FinishCaller>;
using SchedulerToUpstreams = std::variant<SendAttempt, CancelAttempt, PollLoad>;
using SchedulerToPeers = std::variant<KeepPeer, SendPeer>;
using SchedulerToPlatform = std::variant<AppendLog, TailLog>;
using SchedulerToTelemetry = std::variant<StatusAnswer, SetReady, StepRecorded, AttemptRecorded>;
using CallersToTelemetry = std::variant<RequestOpened, FirstByteSent, RequestClosed>;

/** Visitor that calls the handler which accepts the argument. */
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace camphorshunt
