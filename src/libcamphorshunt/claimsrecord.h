#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "camphorshunt/ids.h"
#include "camphorshunt/result.h"

#include "requestclaim.h"

namespace camphorshunt {

/** Identifies an attempt to claim a key; the nonce is unique within the router's incarnation. */
struct ClaimId {
    RouterId router;
    Incarnation incarnation;
    Nonce nonce;

    auto operator<=>(const ClaimId&) const = default;

    template <typename H> friend auto AbslHashValue(H state, const ClaimId& id) -> H
    {
        return H::combine(std::move(state), id.router, id.incarnation, id.nonce);
    }
};

struct NewClaim {
    ClaimKey key;
    Nonce nonce;
};

/** A record of a claims stream: a batch of entries of one router. Abandons take effect first. */
struct ClaimsRecord {
    RouterId router;
    Incarnation incarnation;
    /** Wall time at which the record was written, in milliseconds since the Unix epoch. */
    std::int64_t atMs {};
    /** The writer had read all records before this offset, so these were appended before `atMs`. */
    Offset seen;
    std::vector<Nonce> abandons;
    std::vector<NewClaim> claims;
    std::vector<Nonce> settles;
};

/** Returns the key as 32 lower-case hex digits. */
auto keyText(const ClaimKey& key) -> std::string;

auto encodeRecord(const ClaimsRecord& record) -> std::string;
/** An error names the malformed field. */
auto decodeClaimsRecord(std::string_view text) -> Result<ClaimsRecord>;

} // namespace camphorshunt
