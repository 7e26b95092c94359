#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/fleetconfiguration.h"

namespace camphorshunt {

/** The organisation to which a key belongs. */
struct KeyHolder {
    OrganisationId id;
    std::string name;
    std::optional<std::uint32_t> priority;
};

/** One version of the configuration, indexed for lookups per request. Immutable, so threads may share it. */
class RouteTable {
public:
    static auto build(FleetConfiguration configuration) -> std::shared_ptr<const RouteTable>;

    /** The route of the host with the longest matching prefix of the target's path; null if none matches. */
    auto find(std::string_view host, std::string_view target) const -> const Route*;
    /** The organisation to which a key belongs; null if the key is unknown. */
    auto holderOf(std::string_view key) const -> const KeyHolder*;
    /** Null if the configuration does not have it. */
    auto organisation(OrganisationId id) const -> const KeyHolder*;
    auto service(ServiceId id) const -> const ServiceDeclaration*;
    /** Chooses one of the route's targets by weight; `draw` must be uniformly distributed over 64 bits. */
    static auto chooseTarget(const Route& route, std::uint64_t draw) -> ServiceId;

    auto version() const -> std::uint64_t { return configuration_.version; }
    auto limits() const -> const CallerLimits& { return configuration_.limits; }
    auto configuration() const -> const FleetConfiguration& { return configuration_; }
    /** True if callers must authenticate as an organisation with a key, except on open routes. */
    auto requiresKeys() const -> bool { return !configuration_.organisations.empty(); }

private:
    explicit RouteTable(FleetConfiguration configuration);

    FleetConfiguration configuration_;
    /** Routes of each host, longest prefix first. */
    absl::flat_hash_map<std::string, std::vector<const Route*>> byHost_;
    std::vector<KeyHolder> organisations_;
    absl::flat_hash_map<std::string, const KeyHolder*> byKey_;
    absl::flat_hash_map<ServiceId, const ServiceDeclaration*> byService_;
};

} // namespace camphorshunt
