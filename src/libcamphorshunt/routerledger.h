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
    /** Number of the Grants message that carried it; 0 if the router listed it in a full demand. */
    std::uint64_t sequence {};
    /** Units served so far, as reported by the router. */
    double servedUnits {};
};

/**
 * A dispatcher's record of one entry router: its demand, the grants that may still be in flight to it,
 * and the grants that it holds.
 */
class RouterLedger {
public:
    using Slots = absl::btree_map<GrantId, OutstandingGrant>;

    explicit RouterLedger(RouterId router)
        : router_(router)
    {
    }

    /** Sets the number of waiting requests, as of the last Grants message that the router has applied. */
    auto setDemand(const DemandEntry& entry) -> void;
    /** Clears all demand; returns the keys that had any. */
    auto clearDemand() -> std::vector<DemandKey>;
    /** Records that the router has applied all Grants messages up to this one. */
    auto acknowledge(std::uint64_t sequence) -> void;
    /** Stops counting the grants in flight, which the router will not apply; their slots stay in use. */
    auto dropUnacknowledged() -> void;
    /** Waiting requests less those whose grant may still be in flight. */
    auto waiting(const DemandKey& key) const -> std::uint32_t;

    auto addGrant(GrantId id, const OutstandingGrant& grant) -> void;
    auto addHeld(const HeldSlot& held) -> void;
    /** Number of the Grants message that is being filled. */
    auto nextSequence() const -> std::uint64_t { return sequence_ + 1; }
    auto advanceSequence() -> std::uint64_t { return ++sequence_; }
    auto sequence() const -> std::uint64_t { return sequence_; }
    /** Skips the numbers up to this one: the router has seen them and ignores messages that repeat them. */
    auto continueSequenceFrom(std::uint64_t sequence) -> void { sequence_ = sequence; }

    auto slots() -> Slots& { return slots_; }

    /** The connection was lost, and no full demand has arrived since. */
    bool disconnected {};
    /** This dispatcher has received a full demand from the router, or has requested one. */
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
