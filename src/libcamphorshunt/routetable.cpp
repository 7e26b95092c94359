#include "camphorshunt/routetable.h"

#include <algorithm>
#include <cassert>

namespace camphorshunt {

namespace {

/** Lower-case host name without port, since lookups ignore both. */
auto hostKey(std::string_view host) -> std::string
{
    auto key = std::string(host.substr(0, host.find(':')));
    const auto lower
        = [](char letter) { return letter >= 'A' && letter <= 'Z' ? char(letter - 'A' + 'a') : letter; };
    std::ranges::transform(key, key.begin(), lower);
    return key;
}

} // namespace

RouteTable::RouteTable(FleetConfiguration configuration)
    : configuration_(std::move(configuration))
{
    for (const auto& route : configuration_.routes)
        byHost_[hostKey(route.host)].push_back(&route);
    for (auto& [host, routes] : byHost_) {
        std::ranges::stable_sort(
            routes, std::greater {}, [](const Route* route) { return route->pathPrefix.size(); });
    }

    organisations_.reserve(configuration_.organisations.size());
    for (const auto& declared : configuration_.organisations) {
        organisations_.push_back({ idOf<OrganisationId>(declared.name), declared.name, declared.priority });
        for (const auto& key : declared.keys)
            byKey_[key] = &organisations_.back();
    }

    for (const auto& service : configuration_.services)
        byService_[service.id()] = &service;
}

auto RouteTable::build(FleetConfiguration configuration) -> std::shared_ptr<const RouteTable>
{
    return std::shared_ptr<const RouteTable>(new RouteTable(std::move(configuration)));
}

auto RouteTable::find(std::string_view host, std::string_view target) const -> const Route*
{
    const auto found = byHost_.find(hostKey(host));
    if (found == byHost_.end())
        return nullptr;
    const auto path = target.substr(0, target.find('?'));
    const auto matches = [path](const Route* route) { return path.starts_with(route->pathPrefix); };
    const auto route = std::ranges::find_if(found->second, matches);
    return route == found->second.end() ? nullptr : *route;
}

auto RouteTable::holderOf(std::string_view key) const -> const KeyHolder*
{
    const auto found = byKey_.find(std::string(key));
    return found == byKey_.end() ? nullptr : found->second;
}

auto RouteTable::organisation(OrganisationId id) const -> const KeyHolder*
{
    const auto found = std::ranges::find(organisations_, id, &KeyHolder::id);
    return found == organisations_.end() ? nullptr : &*found;
}

auto RouteTable::service(ServiceId id) const -> const ServiceDeclaration*
{
    const auto found = byService_.find(id);
    return found == byService_.end() ? nullptr : found->second;
}

auto RouteTable::chooseTarget(const Route& route, std::uint64_t draw) -> ServiceId
{
    assert(!route.targets.empty());
    auto total = std::uint64_t { 0 };
    for (const auto& target : route.targets)
        total += target.weight;
    if (total == 0)
        return route.targets.front().service;
    auto rest = draw % total;
    for (const auto& target : route.targets) {
        if (rest < target.weight)
            return target.service;
        rest -= target.weight;
    }
    return route.targets.back().service;
}

} // namespace camphorshunt
