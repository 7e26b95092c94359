#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"

#include "dispatchpolicy.h"

namespace camphorshunt {

/** A grant that has not ended. */
struct OutstandingGrant {
    DemandKey key;
    UpstreamId upstream;
    /** Of the Grants message that carried it; 0 if it was told in a full demand. */
    std::uint64_t sequence {};
    /** Units known to be served. */
    double servedUnits {};
};

/**
 * What a dispatcher knows of one entry router: its demand, the grants that may still be on their way
 * to it, and the grants that it holds.
 */
class RouterLedger {
public:
    using Slots = absl::btree_map<GrantId, OutstandingGrant>;

    explicit RouterLedger(RouterId router)
        : router_(router)
    {
    }

    /** Sets an absolute count as of the last Grants message that the router has applied. */
    auto setDemand(const DemandEntry& entry) -> void;
    /** Forgets all demand; answers the keys that had some. */
    auto clearDemand() -> std::vector<DemandKey>;
    /** The router has applied all Grants messages up to this one. */
    auto acknowledge(std::uint64_t sequence) -> void;
    /** Grants on their way are lost with the connection. */
    auto dropUnacknowledged() -> void;
    /** Waiting requests less those whose grant may still be on its way. */
    auto waiting(const DemandKey& key) const -> std::uint32_t;

    auto addGrant(GrantId id, const OutstandingGrant& grant) -> void;
    auto addHeld(const HeldSlot& held) -> void;
    /** The number of the Grants message now being filled. */
    auto nextSequence() const -> std::uint64_t { return sequence_ + 1; }
    auto advanceSequence() -> std::uint64_t { return ++sequence_; }
    auto sequence() const -> std::uint64_t { return sequence_; }
    /** The router knows a dispatcher's numbers up to this one, and ignores them when they come again. */
    auto continueSequenceFrom(std::uint64_t sequence) -> void { sequence_ = sequence; }

    auto slots() -> Slots& { return slots_; }

    /** The connection was lost and no full demand has come since. */
    bool disconnected {};
    /** The router sent a full demand in this run, or was asked for one. */
    bool fullDemandRequested {};

private:
    struct Count {
        std::uint32_t reported {};
        std::uint32_t granted {};
    };
    struct Unacknowledged {
        std::uint64_t sequence {};
        DemandKey key;
    };

    auto eraseIfEmpty(const DemandKey& key) -> void;

    RouterId router_;
    std::uint64_t sequence_ {};
    absl::flat_hash_map<DemandKey, Count> counts_;
    std::deque<Unacknowledged> unacknowledged_;
    Slots slots_;
};

} // namespace camphorshunt
