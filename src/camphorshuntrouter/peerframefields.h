#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>

#include "camphorshunt/result.h"

#include "fleet_generated.h"

// Conversions that all parts of a frame between routers share.

namespace camphorshunt::router {

inline auto malformed(std::string message) -> Error
{
    return failure(Error::Code::Malformed, "frame", std::move(message));
}

/** A longer time is packed as the longest one. */
inline auto packMilliseconds(std::chrono::milliseconds time) -> std::uint32_t
{
    constexpr auto longest = std::chrono::milliseconds(std::numeric_limits<std::uint32_t>::max());
    return static_cast<std::uint32_t>(std::clamp(time, std::chrono::milliseconds(0), longest).count());
}

/** The verifier of FlatBuffers 2.0 checks the length of a list, but not the alignment of its items. */
template <typename Item> auto isAligned(const flatbuffers::Vector<Item>* list) -> bool
{
    using Stored = std::remove_const_t<std::remove_pointer_t<Item>>;
    // An empty list is stored without alignment.
    return list == nullptr || list->size() == 0
        || reinterpret_cast<std::uintptr_t>(list->Data()) % alignof(Stored) == 0;
}

} // namespace camphorshunt::router
