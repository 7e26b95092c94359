#pragma once

#include <string_view>

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>

#include "camphorshunt/action.h"
#include "camphorshunt/core.h"
#include "camphorshunt/event.h"

/**
 * Describes the types in a trace to Boost.Describe. Member and enumerator names are the names in the
 * JSON, so renaming one here makes recorded traces unreadable.
 */
namespace camphorshunt {

BOOST_DESCRIBE_STRUCT(ShardId, (), (service, index))
BOOST_DESCRIBE_STRUCT(Endpoint, (), (address, port))
BOOST_DESCRIBE_STRUCT(CoreSettings, (), (name, failureDomain, incarnation, wallOffset, seed, tick))

BOOST_DESCRIBE_ENUM(RequestClass, Interactive, Deferrable)
BOOST_DESCRIBE_ENUM(MemberState, Alive, Suspect, Dead, Draining)
BOOST_DESCRIBE_STRUCT(DemandEntry, (), (organisation, requestClass, waiting, headUnits))
BOOST_DESCRIBE_STRUCT(HeldSlot, (), (grant, organisation, requestClass, upstream, chargedUnits))
BOOST_DESCRIBE_STRUCT(Demand, (), (shard, full, grantsSeen, entries, held))
BOOST_DESCRIBE_STRUCT(Grant, (), (id, organisation, requestClass, upstream))
BOOST_DESCRIBE_STRUCT(Grants, (), (shard, sequence, grants))
BOOST_DESCRIBE_STRUCT(SlotEnd, (), (grant, organisation, upstream, totalUnits, unused, result))
BOOST_DESCRIBE_STRUCT(Charge, (), (grant, totalUnits))
BOOST_DESCRIBE_STRUCT(Ends, (), (shard, ends, charges))
BOOST_DESCRIBE_STRUCT(ServiceTotal, (), (organisation, units))
BOOST_DESCRIBE_STRUCT(Totals, (), (shard, dispatcher, totals))
BOOST_DESCRIBE_STRUCT(MemberUpdate, (), (router, incarnation, state, refutation))
BOOST_DESCRIBE_STRUCT(DocumentVersion, (), (service, version, digest))
BOOST_DESCRIBE_STRUCT(Probe, (), (sequence, target, relayFor, news, versions))
BOOST_DESCRIBE_STRUCT(ProbeAck, (), (sequence, target, relayFor, news, versions))
BOOST_DESCRIBE_STRUCT(DocumentRequest, (), (service, have))
BOOST_DESCRIBE_STRUCT(DocumentTransfer, (), (service, version, digest, snapshot))
BOOST_DESCRIBE_STRUCT(ClaimsRequest, (), (stream))
BOOST_DESCRIBE_STRUCT(ClaimsTransfer, (), (stream, next, snapshot))

BOOST_DESCRIBE_ENUM(AttemptResult, Complete, NotSent, Refused, Failed, Broken, Silent, Crossed, Cancelled)
BOOST_DESCRIBE_ENUM(AppendOutcome, Landed, Refused, Unknown)
BOOST_DESCRIBE_ENUM(VmRole, Router, Upstream)
BOOST_DESCRIBE_STRUCT(RequestArrived, (),
    (request, service, operation, keyDigest, idempotencyKey, deadline, promptTokens, outputTokens, bodyBytes))
BOOST_DESCRIBE_STRUCT(CallerGone, (), (request))
BOOST_DESCRIBE_STRUCT(AttemptProgress, (), (request, attempt, outputTokens))
BOOST_DESCRIBE_STRUCT(AttemptEnded, (),
    (request, attempt, result, promptTokens, outputTokens, eventsPassed, headPassed, leaving))
BOOST_DESCRIBE_STRUCT(LoadReported, (), (upstream, running, waiting, slots, leaving))
BOOST_DESCRIBE_STRUCT(LoadFailed, (), (upstream))
BOOST_DESCRIBE_STRUCT(PeerConnected, (), (router, incarnation))
BOOST_DESCRIBE_STRUCT(PeerDisconnected, (), (router))
BOOST_DESCRIBE_STRUCT(PeerReceived, (), (router, message))
BOOST_DESCRIBE_STRUCT(LogRecord, (), (offset, body))
BOOST_DESCRIBE_STRUCT(LogRead, (), (stream, first, end, records))
BOOST_DESCRIBE_STRUCT(LogUnavailable, (), (stream))
BOOST_DESCRIBE_STRUCT(AppendEnded, (), (append, outcome, offset))
BOOST_DESCRIBE_STRUCT(VmEntry, (), (name, role, endpoint, failureDomain, leaving))
BOOST_DESCRIBE_STRUCT(VmsListed, (), (vms))
BOOST_DESCRIBE_STRUCT(VmListUnavailable, (), ())
BOOST_DESCRIBE_STRUCT(DrainRequested, (), ())
BOOST_DESCRIBE_STRUCT(Tick, (), ())

BOOST_DESCRIBE_ENUM(RequestOutcome, Done, NotRun, Unknown, Failed)
BOOST_DESCRIBE_ENUM(LogLevel, Debug, Info, Warning, Error)
BOOST_DESCRIBE_ENUM(RequestStep, Queued, ClaimAppended, ClaimWon, Granted, Sent, Retried, Ended)
BOOST_DESCRIBE_STRUCT(AnswerCaller, (), (request, status, outcome, reason, retryAfter))
BOOST_DESCRIBE_STRUCT(FinishCaller, (), (request, outcome, reason))
BOOST_DESCRIBE_STRUCT(SendAttempt, (),
    (request, attempt, upstream, endpoint, upstreamKind, operation, freshConnection, resumeAfter,
        fencingNumber, connectTimeout, firstByteTimeout, gapTimeout))
BOOST_DESCRIBE_STRUCT(CancelAttempt, (), (request, attempt))
BOOST_DESCRIBE_STRUCT(PollLoad, (), (upstream, endpoint, upstreamKind))
BOOST_DESCRIBE_STRUCT(KeepPeer, (), (router, endpoint))
BOOST_DESCRIBE_STRUCT(SendPeer, (), (router, message))
BOOST_DESCRIBE_STRUCT(AppendLog, (), (append, stream, body))
BOOST_DESCRIBE_STRUCT(TailLog, (), (stream, from))
BOOST_DESCRIBE_STRUCT(SetReady, (), (ready))
BOOST_DESCRIBE_STRUCT(Exit, (), ())
BOOST_DESCRIBE_STRUCT(LogField, (), (name, value))
BOOST_DESCRIBE_STRUCT(WriteLog, (), (level, event, fields))
BOOST_DESCRIBE_STRUCT(NoteStep, (), (request, step, organisation, service, upstream, outcome))

/** The JSON names of a variant's alternatives, in the order of the alternatives. */
template <typename Variant> struct AlternativeNames;

template <> struct AlternativeNames<Event> {
    static constexpr std::string_view names[]
        = { "RequestArrived", "CallerGone", "AttemptProgress", "AttemptEnded", "LoadReported", "LoadFailed",
              "PeerConnected", "PeerDisconnected", "PeerReceived", "LogRead", "LogUnavailable", "AppendEnded",
              "VmsListed", "VmListUnavailable", "DrainRequested", "Tick" };
};

template <> struct AlternativeNames<Action> {
    static constexpr std::string_view names[]
        = { "AnswerCaller", "FinishCaller", "SendAttempt", "CancelAttempt", "PollLoad", "KeepPeer",
              "SendPeer", "AppendLog", "TailLog", "SetReady", "Exit", "WriteLog", "NoteStep" };
};

template <> struct AlternativeNames<PeerMessage> {
    static constexpr std::string_view names[] = { "Demand", "Grants", "Ends", "Totals", "Probe", "ProbeAck",
        "DocumentRequest", "DocumentTransfer", "ClaimsRequest", "ClaimsTransfer" };
};

} // namespace camphorshunt
