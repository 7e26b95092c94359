#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "camphorshunt/attemptresult.h"
#include "camphorshunt/document.h"
#include "camphorshunt/ids.h"

namespace camphorshunt {

/** Requests of one organisation and class that wait at an entry router; a total, not an increment. */
struct DemandEntry {
    OrganisationId organisation;
    RequestClass requestClass {};
    std::uint32_t waiting {};
    /** Estimated units of service of the request at the head. */
    std::uint32_t headUnits {};
};

/** A slot in use at an entry router, reported to a new dispatcher. */
struct HeldSlot {
    GrantId grant;
    OrganisationId organisation;
    RequestClass requestClass {};
    UpstreamId upstream;
    double chargedUnits {};
};

/**
 * The waiting requests of an entry router. A full demand replaces everything that the dispatcher has stored
 * for that router; any other demand contains only the changed entries.
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

/** Slots granted to one entry router. */
struct Grants {
    ShardId shard;
    /**
     * Consecutive per entry router, starting at 1 or after the `grantsSeen` of its full demand. 0 contains no
     * grants and requests a full demand, since the sender has no dispatcher role that knows the entry router.
     */
    std::uint64_t sequence {};
    std::vector<Grant> grants;
};

/** The release of a slot; an unused grant is returned with zero units. */
struct SlotEnd {
    GrantId grant;
    OrganisationId organisation;
    UpstreamId upstream;
    /** Total units of service of the attempt. */
    double totalUnits {};
    bool unused {};
    /** Result of the attempt, for the dispatcher's record of the upstream's health; has no meaning if the
     * entry router chose not to use the grant.
     */
    AttemptResult result {};
};

/** Units of service streamed under a grant so far; a total, not an increment. */
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
    /** Units served or advanced by the sending shard since its dispatcher took over; never decreases. */
    double units {};
};

/** Per-organisation totals of one shard, sent to the other shards of the service. */
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

/** SWIM probe (Das, Gupta, Motivala, 2002); `relayFor` is non-zero for an indirect probe. */
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

/** Requests a peer's document of a service if it is newer than version `have`. */
struct DocumentRequest {
    ServiceId service;
    Offset have;
};

/** A peer's folded document state of a service, as written by `DocumentFold::snapshot`. */
struct DocumentTransfer {
    ServiceId service;
    Offset version;
    std::uint64_t digest {};
    std::string snapshot;
};

/** Requests a peer's folded state of a claims stream. */
struct ClaimsRequest {
    std::string stream;
};

/** A peer's folded state of a claims stream, as written by `ClaimsFold::snapshot`. */
struct ClaimsTransfer {
    std::string stream;
    Offset next;
    std::string snapshot;
};

using PeerMessage = std::variant<Demand, Grants, Ends, Totals, Probe, ProbeAck, DocumentRequest,
    DocumentTransfer, ClaimsRequest, ClaimsTransfer>;

} // namespace camphorshunt
