#pragma once

#include <cstdint>
#include <span>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include "camphorshunt/ids.h"

namespace camphorshunt {

/** For each prefilled prompt part, the engines that have it cached. The engines' caches keep it up to date.
 */
class PromptCacheIndex {
public:
    /** Hash that identifies a part together with all parts before it. */
    using Chain = std::uint64_t;

    auto add(Chain chain, UpstreamId engine) -> void;
    auto remove(Chain chain, UpstreamId engine) -> void;
    /** Engines that have the part, in the order of their ids; valid until the next change. */
    auto holdersOf(Chain chain) const -> std::span<const UpstreamId>;

private:
    /** Most parts are cached by one engine, a few by all. */
    using Holders = absl::InlinedVector<UpstreamId, 2>;

    absl::flat_hash_map<Chain, Holders> holders_;
};

} // namespace camphorshunt
