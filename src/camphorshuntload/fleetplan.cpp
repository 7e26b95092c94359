#include "fleetplan.h"

#include "namedvalue.h"
#include "settingsfile.h"

namespace camphorshunt::load {

namespace {

using std::chrono::milliseconds;

constexpr auto maxMs = std::uint64_t { 600'000 };
constexpr auto maxRouters = std::uint64_t { 4000 };

auto readEvent(SettingsReader& reader) -> FleetEvent
{
    using Kind = FleetEvent::Kind;
    using Group = FleetEvent::Group;
    auto event = FleetEvent {};
    event.name = reader.text("name");
    event.kind = readName<Kind>(reader, "kind",
        { { "power-off", Kind::PowerOff }, { "restart", Kind::Restart }, { "pause", Kind::Pause },
            { "slow", Kind::Slow }, { "cut-one-way", Kind::CutOneWay },
            { "cut-in-halves", Kind::CutInHalves }, { "cut-links", Kind::CutLinks },
            { "publish", Kind::Publish } });
    event.group = readName<Group>(reader, "group",
        { { "all", Group::All }, { "third", Group::Third }, { "hubs", Group::Hubs },
            { "domain", Group::Domain }, { "large", Group::Large }, { "placer", Group::Placer } });
    event.at = reader.milliseconds("atMs", milliseconds(0), 0, maxMs);
    event.length = reader.milliseconds("forMs", milliseconds(0), 0, maxMs);
    event.delay = reader.milliseconds("delayMs", milliseconds(0), 0, maxMs);
    reader.finish();
    return event;
}

auto readPlan(SettingsReader& reader) -> FleetPlan
{
    auto plan = FleetPlan {};
    plan.seed = reader.number("seed", plan.seed, 0, ~std::uint64_t {});
    plan.duration = reader.milliseconds("durationMs", milliseconds(10'000), 1, maxMs);
    for (auto& item : reader.objects("fleets")) {
        plan.sizes.push_back(item.number("routers", 1, 1, maxRouters));
        item.finish();
    }
    if (plan.sizes.empty())
        reader.refuse("fleets", "must hold one fleet or more");
    plan.largeEvery = reader.number("largeEvery", plan.largeEvery, 1, maxRouters);
    plan.largeShare = reader.real("largeShare", plan.largeShare, 0.01, 64.0);
    plan.smallShare = reader.real("smallShare", plan.smallShare, 0.01, 64.0);
    plan.failureDomains = reader.number("failureDomains", plan.failureDomains, 1, maxRouters);
    plan.engines = reader.number("engines", plan.engines, 1, maxRouters);
    plan.rate = reader.real("rate", plan.rate, 0.0, 1e5);
    plan.hopMs = reader.real("hopMs", plan.hopMs, 0.0, 1000.0);
    plan.otherDomainHopMs = reader.real("otherDomainHopMs", plan.otherDomainHopMs, 0.0, 1000.0);
    plan.storeMs = reader.real("storeMs", plan.storeMs, 0.0, 1000.0);
    plan.startSpread = reader.milliseconds("startSpreadMs", plan.startSpread, 0, maxMs);
    for (auto& item : reader.objects("events"))
        plan.events.push_back(readEvent(item));
    reader.finish();
    return plan;
}

} // namespace

auto FleetPlan::parse(std::string_view text, std::string_view file) -> Result<FleetPlan>
{
    return parseSettings<FleetPlan>(text, file, readPlan);
}

auto FleetPlan::load(const std::string& file) -> Result<FleetPlan> { return loadSettings(file, parse); }

} // namespace camphorshunt::load
