#include "fleetcomparison.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace camphorshunt::ctl {

namespace {

/** Routers named in one line; the others are counted. */
constexpr auto maxNamed = std::size_t { 4 };
/** Reports are made each second; an older one means that the router's scheduler does not run. */
constexpr auto maxReportAge = std::chrono::milliseconds(3000);

using Lines = std::vector<std::string>;

auto milliseconds(std::chrono::milliseconds time) -> std::string
{
    return std::to_string(time.count()) + " ms";
}

auto joined(const std::vector<std::string>& names) -> std::string
{
    auto text = std::string {};
    for (const auto& name : std::span(names).first(std::min(names.size(), maxNamed)))
        text += (text.empty() ? "" : ", ") + name;
    if (names.size() > maxNamed)
        text += " and " + std::to_string(names.size() - maxNamed) + " more";
    return text;
}

/** For each role the routers that are named for it, with the addresses of those that name them. */
auto compareRoles(std::span<const FleetReport> reports, const RouterNames& names, Lines& lines) -> void
{
    auto holders = std::map<std::string, std::map<RouterId, std::vector<std::string>>> {};
    for (const auto& report : reports) {
        for (const auto& [role, router] : rolesNamed(report))
            holders[role][router].push_back(report.address);
    }
    for (const auto& [role, named] : holders) {
        if (named.size() < 2)
            continue;
        auto line = "routers name different ones as " + role;
        auto separator = std::string_view(": ");
        for (const auto& [router, sources] : named) {
            line.append(std::exchange(separator, "; ")).append(names.router(router));
            line.append(" according to ").append(joined(sources));
        }
        lines.push_back(std::move(line));
    }
}

auto compareConfigurations(std::span<const FleetReport> reports, Lines& lines) -> void
{
    auto sources = std::map<std::uint64_t, std::vector<std::string>> {};
    for (const auto& report : reports)
        sources[report.configurationVersion].push_back(report.address);
    for (const auto& [version, addresses] : sources) {
        if (const auto newest = sources.rbegin()->first; version != newest) {
            lines.push_back("configuration " + std::to_string(version) + " instead of "
                + std::to_string(newest) + " is in force on " + joined(addresses));
        }
    }
}

auto checkLinks(const FleetReport& report, const RouterNames& names, Lines& lines) -> void
{
    for (const auto& link : report.links) {
        if (link.isConnected && link.isResponsive)
            continue;
        const auto heard = link.lastHeard ? "last heard " + milliseconds(*link.lastHeard) + " ago"
                                          : std::string("never heard");
        lines.push_back(report.address + (link.isConnected ? " does not hear " : " has no connection to ")
            + names.router(link.router) + ": " + heard + ", expected every " + milliseconds(link.interval));
    }
}

auto checkReport(const FleetReport& report, const RouterNames& names, Lines& lines) -> void
{
    if (report.age > maxReportAge)
        lines.push_back("the view of " + report.address + " is " + milliseconds(report.age)
            + " old: its scheduler does not run");
    if (!report.reachesStore)
        lines.push_back(report.address + " does not reach the store");
    checkLinks(report, names, lines);
}

} // namespace

auto fleetDifferences(std::span<const RouterView> views) -> std::vector<std::string>
{
    auto lines = Lines {};
    auto reports = std::vector<FleetReport> {};
    for (const auto& view : views) {
        if (view.report)
            reports.push_back(view.report.value());
        else
            lines.push_back(view.metrics.text() + " gives no view: " + view.report.error().text());
    }
    const auto names = RouterNames(views);
    compareRoles(reports, names, lines);
    compareConfigurations(reports, lines);
    for (const auto& report : reports)
        checkReport(report, names, lines);
    return lines;
}

} // namespace camphorshunt::ctl
