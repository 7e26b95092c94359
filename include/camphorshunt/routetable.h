#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "camphorshunt/fleetconfiguration.h"

namespace camphorshunt {

/** The organisation that a key belongs to. */
struct KeyHolder {
    OrganisationId id;
    std::string name;
    std::optional<std::uint32_t> priority;
};

/** One version of the configuration, ready for look-ups by request. Never changes, so threads share it. */
class RouteTable {
public:
    static auto build(FleetConfiguration configuration) -> std::shared_ptr<const RouteTable>;

    /** The route of the host with the longest prefix of the target's path; null if there is none. */
    auto find(std::string_view host, std::string_view target) const -> const Route*;
    /** The organisation that holds a key; null if none does. */
    auto holderOf(std::string_view key) const -> const KeyHolder*;
    auto service(ServiceId id) const -> const ServiceDeclaration*;
    /** Splits requests over a route's targets by weight; `draw` is uniform over 64 bits. */
    static auto chooseTarget(const Route& route, std::uint64_t draw) -> ServiceId;

    auto version() const -> std::uint64_t { return configuration_.version; }
    auto limits() const -> const CallerLimits& { return configuration_.limits; }
    auto configuration() const -> const FleetConfiguration& { return configuration_; }
    /** Callers must name an organisation by a key. */
    auto requiresKeys() const -> bool { return !configuration_.organisations.empty(); }

private:
    explicit RouteTable(FleetConfiguration configuration);

    FleetConfiguration configuration_;
    /** Routes of each host, the longest prefix first. */
    absl::flat_hash_map<std::string, std::vector<const Route*>> byHost_;
    std::vector<KeyHolder> organisations_;
    absl::flat_hash_map<std::string, const KeyHolder*> byKey_;
    absl::flat_hash_map<ServiceId, const ServiceDeclaration*> byService_;
};

} // namespace camphorshunt
