#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "camphorshunt/attemptresult.h"
#include "camphorshunt/document.h"
#include "camphorshunt/ids.h"

namespace camphorshunt {

/** Requests that wait at an entry router for one organisation and class; an absolute count. */
struct DemandEntry {
    OrganisationId organisation;
    RequestClass requestClass {};
    std::uint32_t waiting {};
    /** Estimated units of service of the request at the head. */
    std::uint32_t headUnits {};
};

/** A slot in use at an entry router, told to a new dispatcher. */
struct HeldSlot {
    GrantId grant;
    OrganisationId organisation;
    RequestClass requestClass {};
    UpstreamId upstream;
    double chargedUnits {};
};

/**
 * What waits at an entry router. A full demand replaces all that the dispatcher knew of that
 * router; others carry only the entries that changed.
 */
struct Demand {
    ShardId shard;
    bool full {};
    /** Sequence number of the last Grants message that the sender has applied; 0 if none. */
    std::uint64_t grantsSeen {};
    std::vector<DemandEntry> entries;
    /** Only in a full demand. */
    std::vector<HeldSlot> held;
};

struct Grant {
    GrantId id;
    OrganisationId organisation;
    RequestClass requestClass {};
    UpstreamId upstream;
};

/** Slots handed to one entry router. */
struct Grants {
    ShardId shard;
    /**
     * Numbered without gaps per entry router, from 1 or from what its full demand says it has seen. 0
     * carries no grants and asks for a full demand: the sender has no duty that knows the entry router.
     */
    std::uint64_t sequence {};
    std::vector<Grant> grants;
};

/** The end of a slot's use; an unused grant is returned with no units. */
struct SlotEnd {
    GrantId grant;
    OrganisationId organisation;
    UpstreamId upstream;
    /** All units of service of the attempt. */
    double totalUnits {};
    bool unused {};
    /** How the attempt ended, for the dispatcher's view of the upstream; meaningless when unused by choice.
     */
    AttemptResult result {};
};

/** Units streamed so far under a grant, absolute. */
struct Charge {
    GrantId grant;
    double totalUnits {};
};

struct Ends {
    ShardId shard;
    std::vector<SlotEnd> ends;
    std::vector<Charge> charges;
};

struct ServiceTotal {
    OrganisationId organisation;
    /** Units served or advanced by the sending shard since its dispatcher took over; only rises. */
    double units {};
};

/** Per-organisation totals of one shard, told to the other shards of the service. */
struct Totals {
    ShardId shard;
    Incarnation dispatcher;
    std::vector<ServiceTotal> totals;
};

enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Dead,
    Draining,
};

/** State of one router, disseminated on probes and acks. */
struct MemberUpdate {
    RouterId router;
    Incarnation incarnation;
    MemberState state {};
    /** Raised by the router itself when it refutes a suspicion, or drains, within one incarnation. */
    std::uint32_t refutation {};
};

struct DocumentVersion {
    ServiceId service;
    Offset version;
    std::uint64_t digest {};
};

/** SWIM probe (Das, Gupta, Motivala, 2002); `relayFor` is non-zero in an indirect probe. */
struct Probe {
    std::uint64_t sequence {};
    RouterId target;
    RouterId relayFor;
    std::vector<MemberUpdate> news;
    std::vector<DocumentVersion> versions;
};

struct ProbeAck {
    std::uint64_t sequence {};
    RouterId target;
    RouterId relayFor;
    std::vector<MemberUpdate> news;
    std::vector<DocumentVersion> versions;
};

/** Asks a peer for its document of a service if it is newer than `have`. */
struct DocumentRequest {
    ServiceId service;
    Offset have;
};

/** A peer's folded document state of a service, as `DocumentFold::snapshot` wrote it. */
struct DocumentTransfer {
    ServiceId service;
    Offset version;
    std::uint64_t digest {};
    std::string snapshot;
};

/** Asks a peer for what it remembers of a claims stream. */
struct ClaimsRequest {
    std::string stream;
};

/** A peer's fold of a claims stream, as `ClaimsFold::snapshot` wrote it. */
struct ClaimsTransfer {
    std::string stream;
    Offset next;
    std::string snapshot;
};

using PeerMessage = std::variant<Demand, Grants, Ends, Totals, Probe, ProbeAck, DocumentRequest,
    DocumentTransfer, ClaimsRequest, ClaimsTransfer>;

} // namespace camphorshunt
