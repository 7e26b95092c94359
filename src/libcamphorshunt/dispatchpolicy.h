#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "camphorshunt/document.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"

namespace camphorshunt {

/** Requests of one organisation and class that wait at one entry router. */
struct DemandKey {
    RouterId router;
    OrganisationId organisation;
    RequestClass requestClass {};

    auto operator<=>(const DemandKey&) const = default;

    template <typename H> friend auto AbslHashValue(H state, const DemandKey& key) -> H
    {
        return H::combine(std::move(state), key.router, key.organisation, key.requestClass);
    }
};

/**
 * Decides whose request is granted the next slot. PolicyShard counts slots; a policy knows only demand
 * and service.
 * - `setWaiting` sets the absolute number of waiting requests of a key.
 * - `choose` removes one waiting request and returns its key.
 * - `requestProgressed` adds units that an upstream has served.
 * - `requestEnded` reports that a chosen request no longer runs.
 * - `adoptRequest` reports a running request that an earlier dispatcher has chosen.
 */
template <typename T>
concept DispatchPolicy = std::constructible_from<T, const Dispatch&, Incarnation> && requires(T policy,
    const T& constant, const DemandKey& key, OrganisationId organisation, double units, std::uint32_t count,
    bool deferrableAllowed, const Totals& totals)
{
    policy.setWeight(organisation, units);
    policy.setWaiting(key, count, count);
    {
        policy.choose(deferrableAllowed)
        } -> std::same_as<std::optional<DemandKey>>;
    policy.requestProgressed(key, units);
    policy.requestEnded(key, units);
    policy.adoptRequest(key);
    policy.apply(totals);
    {
        policy.takeTotals()
        } -> std::same_as<std::vector<ServiceTotal>>;
    {
        constant.backloggedOrganisations()
        } -> std::same_as<std::size_t>;
};

} // namespace camphorshunt
