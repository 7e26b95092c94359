#include "rendezvous.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

#include <xxhash.h>

namespace camphorshunt {

namespace {

auto weightOf(const ShardId& shard, RouterId router) -> std::uint64_t
{
    const auto key = std::array { shard.service.value, std::uint64_t { shard.index }, router.value };
    return XXH64(key.data(), sizeof(key), 0);
}

} // namespace

auto rendezvousOwner(const ShardId& shard, std::span<const RouterId> routers) -> RouterId
{
    assert(!routers.empty());
    return *std::ranges::max_element(
        routers, {}, [&shard](RouterId router) { return std::pair(weightOf(shard, router), router); });
}

} // namespace camphorshunt
