#include "relay.h"

#include <algorithm>

namespace camphorshunt::router {

auto Relay::unfinishedCallers() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(callers_, [](const auto& entry) {
        const auto caller = entry.second.lock();
        return caller && caller->isUnfinished();
    }));
}

} // namespace camphorshunt::router
