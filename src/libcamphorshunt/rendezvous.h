#pragma once

#include <span>

#include "camphorshunt/ids.h"

namespace camphorshunt {

/**
 * The router with the highest rendezvous hash (Thaler, Ravishankar, 1998) for a shard; `routers` must not be
 * empty.
 */
auto rendezvousOwner(const ShardId& shard, std::span<const RouterId> routers) -> RouterId;

} // namespace camphorshunt
