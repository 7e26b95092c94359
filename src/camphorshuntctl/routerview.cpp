#include "routerview.h"

namespace camphorshunt::ctl {

RouterNames::RouterNames(std::span<const RouterView> views)
{
    for (const auto& view : views) {
        if (!view.report)
            continue;
        const auto& report = view.report.value();
        routers_[report.router()] = report.address;
        failureDomains_[hashName(report.failureDomain)] = report.failureDomain;
        for (const auto& link : report.links) {
            if (!link.address.empty())
                routers_[link.router] = link.address;
        }
    }
}

auto RouterNames::router(RouterId id) const -> std::string
{
    const auto found = routers_.find(id);
    return found == routers_.end() ? std::to_string(id.value) : found->second;
}

auto RouterNames::failureDomain(std::uint64_t id) const -> std::string
{
    if (id == 0)
        return "-";
    const auto found = failureDomains_.find(id);
    return found == failureDomains_.end() ? std::to_string(id) : found->second;
}

auto rolesNamed(const FleetReport& report) -> std::vector<RoleHolder>
{
    auto roles = std::vector<RoleHolder> { { "store reader", report.storeReader } };
    for (const auto& placer : report.placers)
        roles.push_back({ "placer of " + placer.service, placer.router });
    return roles;
}

} // namespace camphorshunt::ctl
