#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <tuple>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include "camphorshunt/ids.h"

#include "sharddispatcher.h"

namespace camphorshunt {

/**
 * Slots in use at each upstream of a shard. The used slots of an upstream that was removed, or whose
 * limit fell below its use, still count until they are released.
 */
class SlotTable {
public:
    auto setUpstreams(std::span<const UpstreamCapacity> upstreams) -> void;

    /** The upstream with the smallest used fraction; among equals the least recently acquired one. */
    auto leastUsed() const -> std::optional<UpstreamId>;
    auto acquire(UpstreamId upstream) -> void;
    auto release(UpstreamId upstream) -> void;

    auto slots() const -> std::uint32_t { return slots_; }
    auto used() const -> std::uint32_t { return used_; }

private:
    struct Use {
        std::uint32_t limit {};
        std::uint32_t used {};
        std::uint64_t lastAcquired {};
    };
    using FreeKey = std::tuple<double, std::uint64_t, UpstreamId>;

    static auto freeKey(UpstreamId upstream, const Use& use) -> FreeKey;
    auto removeFromFree(UpstreamId upstream, const Use& use) -> void;
    auto addToFree(UpstreamId upstream, const Use& use) -> void;

    absl::btree_map<UpstreamId, Use> uses_;
    absl::btree_set<FreeKey> free_;
    std::uint32_t slots_ {};
    std::uint32_t used_ {};
    std::uint64_t acquisitions_ {};
};

} // namespace camphorshunt
