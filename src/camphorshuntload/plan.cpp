#include "plan.h"

#include <algorithm>

#include "settingsfile.h"

namespace camphorshunt::load {

namespace {

constexpr auto maxDurationMs = std::uint64_t { 3'600'000 };
constexpr auto maxInProgress = std::uint64_t { 10'000 };
constexpr auto maxRate = 100'000.0;

auto milliseconds(SettingsReader& reader, std::string_view name) -> Milliseconds
{
    return reader.milliseconds(name, Milliseconds(0), 0, maxDurationMs);
}

auto readEntries(SettingsReader& reader, const Plan& plan) -> std::vector<Entry>
{
    auto entries = std::vector<Entry> {};
    for (auto& item : reader.objects("entries")) {
        const auto name = item.text("daemon");
        const auto found = std::ranges::find(plan.daemons, name, &PlannedDaemon::name);
        if (found == plan.daemons.end())
            item.refuse("daemon", "must be the name of a daemon of the plan");
        entries.push_back({ static_cast<std::size_t>(found - plan.daemons.begin()),
            item.number("share", 1, 1, 1'000'000) });
        item.finish();
    }
    if (entries.empty())
        reader.refuse("entries", "must hold one daemon or more");
    return entries;
}

auto readOrganisation(SettingsReader& reader, const Plan& plan) -> PlannedOrganisation
{
    auto organisation = PlannedOrganisation {};
    organisation.name = reader.text("name");
    organisation.key = reader.text("key");
    organisation.weight = reader.real("weight", 1.0, 0.001, 1'000'000.0);
    organisation.rate = reader.real("rate", 0.0, 0.0, maxRate);
    organisation.concurrency = reader.number("concurrency", 0, 0, maxInProgress);
    if ((organisation.rate > 0) == (organisation.concurrency > 0))
        reader.refuse("rate", "exactly one of rate and concurrency must be greater than 0");
    organisation.operation = reader.text("operation");
    organisation.waitClass = reader.text("class");
    organisation.promptTokens = Lengths::read(reader.object("promptTokens"));
    organisation.outputTokens = Lengths::read(reader.object("outputTokens"));
    organisation.hintFactor = reader.real("hintFactor", 1.0, 0.0, 1000.0);
    organisation.from = milliseconds(reader, "fromMs");
    organisation.to = milliseconds(reader, "toMs");
    organisation.deadline = milliseconds(reader, "deadlineMs");
    organisation.entries = readEntries(reader, plan);
    reader.finish();
    return organisation;
}

auto readFault(SettingsReader& reader) -> PlannedFault
{
    auto fault = PlannedFault {};
    fault.at = milliseconds(reader, "atMs");
    fault.endpoint = reader.endpoint("endpoint");
    fault.body = reader.text("body");
    reader.finish();
    return fault;
}

auto readPlan(SettingsReader& reader) -> Plan
{
    auto plan = Plan {};
    plan.service = reader.text("service");
    plan.seed = reader.number("seed", 1, 0, ~std::uint64_t {});
    plan.duration = reader.milliseconds("durationMs", Milliseconds(8000), 100, maxDurationMs);
    plan.warmUp = milliseconds(reader, "warmUpMs");
    if (plan.warmUp >= plan.duration)
        reader.refuse("warmUpMs", "must be less than durationMs");
    plan.slots = reader.number("slots", 0, 1, 1'000'000);
    plan.tokenMs = reader.real("tokenMs", 1.0, 0.001, 60'000.0);
    plan.promptWeight = reader.real("promptWeight", 0.1, 0.0, 1'000'000.0);
    for (auto& item : reader.objects("daemons")) {
        plan.daemons.push_back({ item.text("name"), item.endpoint("callers"), item.endpoint("admin") });
        item.finish();
    }
    if (plan.daemons.empty())
        reader.refuse("daemons", "must hold one daemon or more");
    for (auto& item : reader.objects("upstreams")) {
        plan.upstreams.push_back({ item.text("name"), item.endpoint("endpoint") });
        item.finish();
    }
    for (auto& item : reader.objects("organisations"))
        plan.organisations.push_back(readOrganisation(item, plan));
    for (auto& item : reader.objects("faults"))
        plan.faults.push_back(readFault(item));
    reader.finish();
    return plan;
}

} // namespace

auto Plan::parse(std::string_view text, std::string_view file) -> Result<Plan>
{
    return parseSettings<Plan>(text, file, readPlan);
}

auto Plan::load(const std::string& file) -> Result<Plan> { return loadSettings(file, parse); }

} // namespace camphorshunt::load
