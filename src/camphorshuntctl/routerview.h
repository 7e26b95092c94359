#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/fleetreport.h"
#include "camphorshunt/result.h"

namespace camphorshunt::ctl {

/** The answer of one router to a query for its view of the fleet. */
struct RouterView {
    /** Address of its metrics. */
    Endpoint metrics;
    Result<FleetReport> report;
};

/** Names for the identifiers in reports, as far as any of the reports tells them. */
class RouterNames {
public:
    explicit RouterNames(std::span<const RouterView> views);

    /** The address on which the router listens for peers, or its number. */
    auto router(RouterId id) const -> std::string;
    /** The name of a failure domain, or its number; `-` if it is unknown. */
    auto failureDomain(std::uint64_t id) const -> std::string;

private:
    std::map<RouterId, std::string> routers_;
    std::map<std::uint64_t, std::string> failureDomains_;
};

/** Names a role and the router that holds it. */
struct RoleHolder {
    std::string role;
    RouterId router;
};

/** The roles for the fleet that a router names: the store reader and the placers. */
auto rolesNamed(const FleetReport& report) -> std::vector<RoleHolder>;

} // namespace camphorshunt::ctl
