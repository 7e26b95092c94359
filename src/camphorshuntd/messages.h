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

/** What the upstreams thread needs of a request; sent before the core hears of it. */
struct NewBody {
    RequestId request;
    std::string idempotencyKey;
    std::string contentType;
    std::string traceparent;
    std::shared_ptr<const std::string> body;
};

/** The caller's side of a request is over. */
struct DropBody {
    RequestId request;
};

/** The caller's socket has taken this many bytes of the answer. */
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

/** An answer in one piece: an upstream's whole success or its refusal. */
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

/** A caller's request was taken. */
struct RequestOpened {
    RequestId request;
    /** As the caller wrote it; not yet known to be a service. */
    std::string service;
    std::string traceparent;
    Time at;
};

/** The first byte of an answer leaves for the caller. */
struct FirstByteSent {
    RequestId request;
    Time at;
};

/** The caller was given the last word, or has gone. */
struct RequestClosed {
    RequestId request;
    /** An outcome's name, or `caller-gone`. */
    std::string outcome;
    /** Why, if it was refused; one of the daemon's own words. */
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

/** Calls the one of `handlers` that fits. */
template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace camphorshunt
