#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/event.h"
#include "camphorshunt/result.h"

#include "claimsrecord.h"

namespace camphorshunt {

/** State of a claim. It is decided at the claim's own offset; only later reports of its holder change it. */
enum class ClaimState : std::uint8_t {
    Won,
    Done,
    Lost,
    /** Abandoned by its router, before or after its record was appended. */
    Void,
};

/**
 * The fold of one claims stream: the state of keys and claims after the records read so far. A claim wins
 * if its key is free at the claim's own offset. A repeated record of the same claim changes nothing. An
 * abandoned claim is void, in whichever order claim and abandon were appended.
 *
 * The fold must not decide on keys with records that it has not read: `covers` returns whether all records
 * on a key must be among those read. Records before the first retained offset were appended before the time
 * at which any retained record was written by a router that had read them.
 */
class ClaimsFold {
public:
    /** Applies the new records of one read. Returns false if earlier records were missed. */
    auto apply(const LogRead& read, std::int64_t nowMs) -> bool;

    auto next() const -> Offset { return next_; }
    auto keyState(const ClaimKey& key) const -> KeyState;
    /** Empty for a claim of which no record has been read. */
    auto claimState(const ClaimId& id) const -> std::optional<ClaimState>;

    /** True if the fold must have read every record on a key issued at this wall time. */
    auto covers(std::int64_t issuedMs) const -> bool;
    /** Keys issued at or before this wall time are not covered. */
    auto coveredSinceMs() const -> std::int64_t { return std::max(readSinceMs_, evictedBeforeMs_); }
    /** Evicts keys issued before this wall time; they are no longer covered. */
    auto evictBefore(std::int64_t issuedMs) -> void;
    auto size() const -> std::size_t { return claims_.size(); }

    /** Serialises the fold, with its newest `maxClaims` claims, for a router that covers less. */
    auto snapshot(std::size_t maxClaims) const -> std::string;
    /** Parses a peer's snapshot. */
    static auto fromSnapshot(std::string_view text) -> Result<ClaimsFold>;

    /** Maximum milliseconds by which a key may be issued in the future, as callers' clocks differ. */
    static constexpr std::int64_t maxFutureMs = 30'000;
    /** Largest difference between the clocks of two routers, in milliseconds. */
    static constexpr std::int64_t routerSkewMs = 5'000;

private:
    struct Claim {
        ClaimKey key;
        ClaimState state {};
    };

    auto applyRecord(Offset offset, const ClaimsRecord& record) -> void;
    auto applyClaim(const ClaimId& id, const ClaimKey& key) -> void;
    auto applyAbandon(const ClaimId& id, std::int64_t atMs) -> void;
    auto applySettle(const ClaimId& id) -> void;

    absl::flat_hash_map<ClaimId, Claim> claims_;
    absl::flat_hash_map<ClaimKey, ClaimId> holders_;
    /** Abandons read before their claim, with the wall time in milliseconds at which they were written. */
    std::map<ClaimId, std::int64_t> abandoned_;
    Offset next_;
    /** Offset from which on no record was missed. */
    Offset gaplessSince_;
    std::int64_t readSinceMs_ = unboundedPastMs;
    std::int64_t evictedBeforeMs_ = unboundedPastMs;

    static constexpr std::int64_t unboundedPastMs = std::numeric_limits<std::int64_t>::min() / 2;
};

} // namespace camphorshunt
