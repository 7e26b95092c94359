#include "camphorshunt/fleetreport.h"

#include <charconv>
#include <limits>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "settingsfile.h"

namespace camphorshunt {

namespace {

namespace json = boost::json;

constexpr auto anyNumber = std::numeric_limits<std::uint64_t>::max();
constexpr auto maxMilliseconds = std::uint64_t { 1 } << 53U;

/** Identifiers are strings, as many readers of JSON keep only 53 bits of a number. */
auto idText(std::uint64_t id) -> std::string { return std::to_string(id); }

auto addAge(json::object& object, std::string_view name, std::optional<std::chrono::milliseconds> age) -> void
{
    if (age)
        object[name] = age->count();
}

auto linkObject(const FleetReport::Link& link) -> json::object
{
    auto object = json::object { { "router", idText(link.router.value) },
        { "failureDomainId", idText(link.failureDomain) }, { "hub", link.isHub },
        { "connected", link.isConnected }, { "responsive", link.isResponsive },
        { "intervalMs", link.interval.count() } };
    if (!link.address.empty())
        object["address"] = link.address;
    addAge(object, "lastHeardMs", link.lastHeard);
    return object;
}

auto roleObject(const FleetReport& report, RouterId router) -> json::object
{
    return { { "router", idText(router.value) }, { "self", router == report.router() } };
}

auto readId(SettingsReader& reader, std::string_view name) -> std::uint64_t
{
    const auto text = reader.text(name);
    auto id = std::uint64_t {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id);
    if (error != std::errc {} || end != text.data() + text.size())
        reader.refuse(name, "must be a whole number in quotation marks");
    return id;
}

auto readAge(SettingsReader& reader, std::string_view name) -> std::optional<std::chrono::milliseconds>
{
    const auto missing = std::chrono::milliseconds(-1);
    const auto age = reader.milliseconds(name, missing, 0, maxMilliseconds);
    return age == missing ? std::nullopt : std::optional(age);
}

auto readLink(SettingsReader& reader) -> FleetReport::Link
{
    auto link = FleetReport::Link {};
    link.address = reader.optionalText("address");
    link.router = { readId(reader, "router") };
    link.failureDomain = readId(reader, "failureDomainId");
    link.isHub = reader.flag("hub");
    link.isConnected = reader.flag("connected");
    link.isResponsive = reader.flag("responsive");
    link.lastHeard = readAge(reader, "lastHeardMs");
    link.interval = reader.milliseconds("intervalMs", {}, 0, maxMilliseconds);
    return link;
}

auto readReport(SettingsReader& reader) -> FleetReport
{
    auto report = FleetReport {};
    report.address = reader.text("address");
    report.failureDomain = reader.text("failureDomain");
    report.isHub = reader.flag("hub");
    report.isDraining = reader.flag("draining");
    report.reachesStore = reader.flag("storeReachable");
    report.liveRouters = reader.number("liveRouters", 0, 0, anyNumber);
    auto configuration = reader.object("configuration");
    report.configurationVersion = configuration.number("version", 0, 0, anyNumber);
    report.configurationAge = readAge(configuration, "ageMs");
    auto directory = reader.object("directory");
    report.directoryOffset = directory.number("offset", 0, 0, anyNumber);
    report.directoryAge = readAge(directory, "ageMs");
    auto roles = reader.object("roles");
    auto storeReader = roles.object("storeReader");
    report.storeReader = { readId(storeReader, "router") };
    auto feed = roles.object("feed");
    report.feed = { readId(feed, "router") };
    for (auto& placer : roles.objects("placers"))
        report.placers.push_back({ placer.text("service"), { readId(placer, "router") } });
    for (auto& evacuation : reader.objects("evacuations")) {
        report.evacuations.push_back(
            { evacuation.text("domain"), evacuation.milliseconds("ageMs", {}, 0, maxMilliseconds) });
    }
    for (auto& link : reader.objects("links"))
        report.links.push_back(readLink(link));
    report.linksLeftOut = reader.number("linksLeftOut", 0, 0, anyNumber);
    report.silentLinks = reader.number("silentLinks", 0, 0, anyNumber);
    report.age = reader.milliseconds("ageMs", {}, 0, maxMilliseconds);
    return report;
}

} // namespace

auto FleetReport::rolesHeld() const -> std::vector<std::string>
{
    auto held = std::vector<std::string> {};
    if (storeReader == router())
        held.emplace_back("store reader");
    for (const auto& placer : placers) {
        if (placer.router == router())
            held.push_back("placer of " + placer.service);
    }
    return held;
}

auto FleetReport::json() const -> std::string
{
    auto configuration = json::object { { "version", configurationVersion } };
    addAge(configuration, "ageMs", configurationAge);
    auto directory = json::object { { "offset", directoryOffset } };
    addAge(directory, "ageMs", directoryAge);
    auto placerList = json::array {};
    for (const auto& placer : placers) {
        auto object = roleObject(*this, placer.router);
        object["service"] = placer.service;
        placerList.push_back(std::move(object));
    }
    auto evacuationList = json::array {};
    for (const auto& evacuation : evacuations)
        evacuationList.push_back({ { "domain", evacuation.domain }, { "ageMs", evacuation.age.count() } });
    auto linkList = json::array {};
    for (const auto& link : links)
        linkList.push_back(linkObject(link));
    return json::serialize(json::object { { "address", address }, { "router", idText(router().value) },
        { "failureDomain", failureDomain }, { "failureDomainId", idText(hashName(failureDomain)) },
        { "hub", isHub }, { "draining", isDraining }, { "storeReachable", reachesStore },
        { "liveRouters", liveRouters }, { "configuration", std::move(configuration) },
        { "directory", std::move(directory) },
        { "roles",
            json::object { { "storeReader", roleObject(*this, storeReader) },
                { "feed", roleObject(*this, feed) }, { "placers", std::move(placerList) } } },
        { "evacuations", std::move(evacuationList) }, { "links", std::move(linkList) },
        { "linksLeftOut", linksLeftOut }, { "silentLinks", silentLinks }, { "ageMs", age.count() } });
}

auto FleetReport::parse(std::string_view text) -> Result<FleetReport>
{
    return parseSettings<FleetReport>(text, "fleet view", readReport);
}

} // namespace camphorshunt
