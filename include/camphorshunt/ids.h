#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace camphorshunt {

/** Distinct integer types for identifiers, so that one kind cannot be passed for another. */
template <typename Tag> struct Id {
    std::uint64_t value {};

    auto operator<=>(const Id&) const = default;

    template <typename H> friend auto AbslHashValue(H state, const Id& id) -> H
    {
        return H::combine(std::move(state), id.value);
    }
};

/** A VM that runs a daemon: the hash of its name. */
using RouterId = Id<struct RouterTag>;
/** One process lifetime of a daemon; increases with each restart (wall-clock microseconds at start). */
using Incarnation = Id<struct IncarnationTag>;
/** The hash of an organisation's name. */
using OrganisationId = Id<struct OrganisationTag>;
/** The hash of a service's name. */
using ServiceId = Id<struct ServiceTag>;
/** The hash of an upstream's name. */
using UpstreamId = Id<struct UpstreamTag>;
/** A caller's request, unique within one daemon incarnation. */
using RequestId = Id<struct RequestTag>;
/** A slot granted to an entry router, unique within one dispatcher incarnation. */
using GrantId = Id<struct GrantTag>;
/** A log append requested by the core. */
using AppendId = Id<struct AppendTag>;
/** A 64-bit random number that identifies one claim attempt. */
using Nonce = Id<struct NonceTag>;
/** A position in a log stream. */
using Offset = Id<struct OffsetTag>;

/** A subset of a service's upstreams, managed by one dispatcher. */
struct ShardId {
    ServiceId service;
    std::uint32_t index {};

    auto operator<=>(const ShardId&) const = default;

    template <typename H> friend auto AbslHashValue(H state, const ShardId& id) -> H
    {
        return H::combine(std::move(state), id.service, id.index);
    }
};

/** 64-bit hash (XXH64, seed 0) of a name; the same in every process and release. */
auto hashName(std::string_view name) -> std::uint64_t;

template <typename IdType> auto idOf(std::string_view name) -> IdType { return IdType { hashName(name) }; }

} // namespace camphorshunt

template <typename Tag> struct std::hash<camphorshunt::Id<Tag>> {
    auto operator()(const camphorshunt::Id<Tag>& id) const noexcept -> std::size_t { return id.value; }
};
