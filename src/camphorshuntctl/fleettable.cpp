#include "fleettable.h"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "fleetcomparison.h"
#include "texttable.h"

namespace camphorshunt::ctl {

namespace {

namespace json = boost::json;

auto yesNo(bool value) -> std::string { return value ? "yes" : "no"; }

auto ageText(std::optional<std::chrono::milliseconds> age) -> std::string
{
    return age ? std::to_string(age->count()) : "-";
}

auto stateOf(const FleetReport& report) -> std::string
{
    if (report.isDraining)
        return "draining";
    return report.configurationVersion == 0 ? "starting" : "ready";
}

auto joined(const std::vector<std::string>& items) -> std::string
{
    auto text = std::string {};
    for (const auto& item : items)
        text += (text.empty() ? "" : ", ") + item;
    return text.empty() ? "-" : text;
}

auto routerTable(std::span<const RouterView> views) -> std::string
{
    auto table = TextTable({ "router", "domain", "state", "hub", "store", "routers", "configuration",
        "age-ms", "directory", "age-ms", "links", "silent", "roles" });
    for (const auto& view : views) {
        if (!view.report)
            continue;
        const auto& report = view.report.value();
        table.add({ report.address, report.failureDomain, stateOf(report), yesNo(report.isHub),
            yesNo(report.reachesStore), std::to_string(report.liveRouters),
            std::to_string(report.configurationVersion), ageText(report.configurationAge),
            std::to_string(report.directoryOffset), ageText(report.directoryAge),
            std::to_string(report.links.size() + report.linksLeftOut), std::to_string(report.silentLinks),
            joined(report.rolesHeld()) });
    }
    return table.text();
}

auto roleTable(std::span<const RouterView> views, const RouterNames& names) -> std::string
{
    auto counts = std::map<std::pair<std::string, std::string>, std::size_t> {};
    for (const auto& view : views) {
        if (!view.report)
            continue;
        for (const auto& [role, router] : rolesNamed(view.report.value()))
            ++counts[{ role, names.router(router) }];
    }
    auto table = TextTable({ "role", "router", "named-by" });
    for (const auto& [role, count] : counts)
        table.add({ role.first, role.second, std::to_string(count) });
    return table.text();
}

/** Empty if no failure domain is evacuated. */
auto evacuationTable(std::span<const RouterView> views) -> std::string
{
    struct InForce {
        std::size_t routers = 0;
        std::chrono::milliseconds age {};
    };
    auto evacuations = std::map<std::string, InForce> {};
    for (const auto& view : views) {
        if (!view.report)
            continue;
        for (const auto& evacuation : view.report.value().evacuations) {
            auto& inForce = evacuations[evacuation.domain];
            ++inForce.routers;
            inForce.age = std::max(inForce.age, evacuation.age);
        }
    }
    if (evacuations.empty())
        return {};
    auto table = TextTable({ "evacuated", "age-ms", "routers" });
    for (const auto& [domain, inForce] : evacuations)
        table.add({ domain, std::to_string(inForce.age.count()), std::to_string(inForce.routers) });
    return '\n' + table.text();
}

auto linkTable(const FleetReport& report, const RouterNames& names) -> std::string
{
    auto table
        = TextTable({ "link", "domain", "hub", "connected", "responsive", "last-heard-ms", "interval-ms" });
    for (const auto& link : report.links) {
        table.add({ names.router(link.router), names.failureDomain(link.failureDomain), yesNo(link.isHub),
            yesNo(link.isConnected), yesNo(link.isResponsive), ageText(link.lastHeard),
            std::to_string(link.interval.count()) });
    }
    auto text = table.text() + "feed: " + names.router(report.feed) + '\n';
    if (report.linksLeftOut > 0)
        text += "links left out: " + std::to_string(report.linksLeftOut) + '\n';
    return text;
}

} // namespace

auto fleetTable(std::span<const RouterView> views) -> std::string
{
    const auto names = RouterNames(views);
    auto text = routerTable(views) + '\n' + roleTable(views, names) + evacuationTable(views);
    if (views.size() == 1 && views.front().report)
        text += '\n' + linkTable(views.front().report.value(), names);
    const auto differences = fleetDifferences(views);
    if (!differences.empty())
        text += "\nneeds attention:\n";
    for (const auto& difference : differences)
        text += "  " + difference + '\n';
    return text;
}

auto fleetJson(std::span<const RouterView> views) -> std::string
{
    auto routers = json::array {};
    for (const auto& view : views) {
        auto router = json::object { { "metrics", view.metrics.text() } };
        if (view.report)
            router["fleet"] = json::parse(view.report.value().json());
        else
            router["error"] = view.report.error().text();
        routers.push_back(std::move(router));
    }
    auto attention = json::array {};
    for (const auto& difference : fleetDifferences(views))
        attention.emplace_back(difference);
    return json::serialize(
        json::object { { "routers", std::move(routers) }, { "needsAttention", std::move(attention) } });
}

} // namespace camphorshunt::ctl
