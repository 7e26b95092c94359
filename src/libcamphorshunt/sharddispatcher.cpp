#include "sharddispatcher.h"

#include <array>

#include <xxhash.h>

#include "camphorshunt/registry.h"

#include "policyshard.h"

namespace camphorshunt {

auto firstGrantId(const ShardSettings& settings, Time started) -> GrantId
{
    const auto parts = std::array { settings.dispatcher.value, settings.self.value, settings.seed,
        settings.shard.service.value, std::uint64_t { settings.shard.index },
        static_cast<std::uint64_t>(started.time_since_epoch().count()) };
    return GrantId { XXH64(parts.data(), sizeof(parts), 0) & ~std::uint64_t { 0xffff'ffff } };
}

auto deferrableLimit(std::uint32_t slots, std::uint32_t reserved) -> std::uint32_t
{
    return slots > reserved ? slots - reserved : 1;
}

auto ShardDispatcher::create(std::string_view policy, const ShardSettings& settings)
    -> Result<std::unique_ptr<ShardDispatcher>>
{
    const auto& registry = Registry<DispatcherFactory>::instance();
    if (const auto* factory = registry.find(policy))
        return (*factory)(settings);

    auto names = std::string {};
    for (const auto& name : registry.names())
        names += (names.empty() ? "" : ", ") + name;
    return failure(Error::Code::NotFound, "dispatch.policy",
        "'" + std::string(policy) + "' is no dispatch policy; there are: " + names);
}

} // namespace camphorshunt
