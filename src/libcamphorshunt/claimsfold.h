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

/** How a claim stands; decided at its own offset, for good, but for the holder's own later reports. */
enum class ClaimState : std::uint8_t {
    Won,
    Done,
    Lost,
    /** Abandoned by its router, before or after it landed. */
    Void,
};

/**
 * The fold of one claims stream. A claim wins if its key is free at its own offset; a second landing
 * of the same claim changes nothing; an abandoned claim is void in whichever order the two land.
 *
 * What the fold has not read it must not judge: `covers` tells whether every record on a key must lie
 * within what was read. Records before the first retained offset landed before the time at which some
 * retained record was written by a router that had read them.
 */
class ClaimsFold {
public:
    /** Applies the records of one read that are new. Returns false when records were missed. */
    auto apply(const LogRead& read, std::int64_t nowMs) -> bool;

    auto next() const -> Offset { return next_; }
    auto keyState(const ClaimKey& key) const -> KeyState;
    /** Empty for a claim that has not landed. */
    auto claimState(const ClaimId& id) const -> std::optional<ClaimState>;

    /** True when no record on a key issued then can have escaped this fold. */
    auto covers(std::int64_t issuedMs) const -> bool;
    /** Keys issued at or before this wall time are not covered. */
    auto coveredSinceMs() const -> std::int64_t { return std::max(readSinceMs_, evictedBeforeMs_); }
    /** Drops what is known of keys issued before; they are no longer covered. */
    auto evictBefore(std::int64_t issuedMs) -> void;
    auto size() const -> std::size_t { return claims_.size(); }

    /** This memory as text, for a router that has less; the youngest `maxClaims` claims. */
    auto snapshot(std::size_t maxClaims) const -> std::string;
    /** Reads a peer's memory. */
    static auto fromSnapshot(std::string_view text) -> Result<ClaimsFold>;

    /** How far in the future a key may be issued, for the clocks of callers, in milliseconds. */
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
    /** Abandons whose claim has not landed, with the time they were written. */
    std::map<ClaimId, std::int64_t> abandoned_;
    Offset next_;
    /** Where the present run of reading without a gap began. */
    Offset gaplessSince_;
    std::int64_t readSinceMs_ = unboundedPastMs;
    std::int64_t evictedBeforeMs_ = unboundedPastMs;

    static constexpr std::int64_t unboundedPastMs = std::numeric_limits<std::int64_t>::min() / 2;
};

} // namespace camphorshunt
