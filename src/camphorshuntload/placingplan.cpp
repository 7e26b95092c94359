#include "placingplan.h"

#include "namedvalue.h"
#include "settingsfile.h"

namespace camphorshunt::load {

namespace {

using std::chrono::milliseconds;

constexpr auto maxDurationMs = std::uint64_t { 600'000 };
constexpr auto maxMs = 60'000.0;
constexpr auto maxTokens = std::uint64_t { 100'000'000 };
constexpr auto maxEngines = std::uint64_t { 1000 };
constexpr auto maxOrganisations = std::uint64_t { 10'000 };
constexpr auto maxRate = 100'000.0;
constexpr auto maxFactor = 1000.0;

auto readMilliseconds(SettingsReader& reader, std::string_view name, milliseconds fallback) -> milliseconds
{
    return reader.milliseconds(name, fallback, 0, maxDurationMs);
}

auto readEngine(SettingsReader reader, PlacingPlan& plan) -> void
{
    auto& times = plan.times;
    plan.traits.slots = static_cast<std::uint32_t>(reader.number("slots", 8, 1, 10'000));
    plan.traits.memoryTokens = reader.number("memoryTokens", 1'000'000, 1, maxTokens);
    plan.traits.copiedTokensPerMs = reader.real("copiedTokensPerMs", 0.0, 0.0, 1e6);
    times.stepMs = reader.real("stepMs", times.stepMs, 0.01, maxMs);
    times.stepMsPerRequest = reader.real("stepMsPerRequest", times.stepMsPerRequest, 0.0, maxMs);
    times.stepMsPerThousandTokens
        = reader.real("stepMsPerThousandTokens", times.stepMsPerThousandTokens, 0.0, maxMs);
    times.prefillTokensPerMs = reader.real("readTokensPerMs", times.prefillTokensPerMs, 0.01, 1e6);
    times.chunkTokens
        = static_cast<std::uint32_t>(reader.number("chunkTokens", times.chunkTokens, 1, 1'000'000));
    times.firstTokenMs = reader.real("firstTokenMs", times.firstTokenMs, 0.0, maxMs);
    times.copySetupMs = reader.real("copySetupMs", times.copySetupMs, 0.0, maxMs);
    times.maxQueued = static_cast<std::uint32_t>(reader.number("queue", times.maxQueued, 0, 100'000));
    reader.finish();
}

auto readKind(SettingsReader& reader) -> PlannedKind
{
    auto kind = PlannedKind {};
    kind.name = reader.text("name");
    kind.share = reader.real("share", 1.0, 0.0, maxRate);
    kind.goal = readMilliseconds(reader, "goalMs", milliseconds(1000));
    kind.deadline = readMilliseconds(reader, "deadlineMs", milliseconds(10'000));
    kind.worth = reader.real("worth", 1.0, 0.0, maxFactor);
    kind.lateWorth = reader.real("lateWorth", kind.worth / 2, 0.0, maxFactor);
    for (auto& item : reader.objects("parts")) {
        auto part = PlannedPart {};
        part.tokens = Lengths::read(item.object("tokens"));
        part.variants = item.number("variants", 1, 1, 1'000'000);
        part.ownToOrganisation = item.number("ownToOrganisation", 0, 0, 1) == 1;
        item.finish();
        kind.parts.push_back(part);
    }
    kind.ownTokens = Lengths::read(reader.object("ownTokens"));
    kind.outputTokens = Lengths::read(reader.object("outputTokens"));
    kind.hintSigma = reader.real("hintSigma", kind.hintSigma, -1.0, 10.0);
    kind.repeatable = reader.number("repeatable", 0, 0, 1) == 1;
    reader.finish();
    return kind;
}

auto readSurge(SettingsReader& reader) -> PlannedSurge
{
    auto surge = PlannedSurge {};
    surge.from = readMilliseconds(reader, "fromMs", {});
    surge.length = readMilliseconds(reader, "forMs", {});
    surge.factor = reader.real("factor", 1.0, 0.0, maxFactor);
    surge.organisations = reader.number("organisations", 0, 0, maxOrganisations);
    reader.finish();
    return surge;
}

auto readFailure(SettingsReader& reader) -> PlannedFailure
{
    using Mode = PlannedFailure::Mode;
    auto failure = PlannedFailure {};
    failure.at = readMilliseconds(reader, "atMs", {});
    failure.length = readMilliseconds(reader, "forMs", {});
    failure.mode = readName<Mode>(reader, "mode",
        { { "crash", Mode::Crash }, { "hang", Mode::Hang }, { "slow", Mode::Slow },
            { "dispatcher-killed", Mode::DispatcherKilled }, { "rest", Mode::Rest },
            { "release", Mode::Release } });
    failure.engines = reader.number("engines", 1, 0, maxEngines);
    failure.factor = reader.real("factor", 1.0, 1.0, maxFactor);
    reader.finish();
    return failure;
}

auto readPlacer(SettingsReader reader, PlacingPlan& plan) -> void
{
    plan.placer.backlogLimit = readMilliseconds(
        reader, "backlogLimitMs", std::chrono::duration_cast<milliseconds>(plan.placer.backlogLimit));
    plan.placer.shareWindow = readMilliseconds(
        reader, "shareWindowMs", std::chrono::duration_cast<milliseconds>(plan.placer.shareWindow));
    plan.placer.maxLateness = readMilliseconds(
        reader, "latenessMs", std::chrono::duration_cast<milliseconds>(plan.placer.maxLateness));
    plan.placer.prefillWeight = reader.real("rereadWeight", plan.placer.prefillWeight, 0.0, maxFactor);
    plan.placer.copyWeight = reader.real("copyWeight", plan.placer.copyWeight, 0.0, maxFactor);
    reader.finish();
}

auto readPlan(SettingsReader& reader) -> PlacingPlan
{
    auto plan = PlacingPlan {};
    plan.seed = reader.number("seed", plan.seed, 0, ~std::uint64_t {});
    plan.duration = readMilliseconds(reader, "durationMs", milliseconds(30'000));
    plan.engines = reader.number("engines", 1, 1, maxEngines);
    plan.routers = reader.number("routers", 1, 1, maxEngines);
    plan.failureDomains = reader.number("failureDomains", 1, 1, maxEngines);
    plan.hopMs = reader.real("hopMs", plan.hopMs, 0.0, maxMs);
    plan.otherDomainHopMs = reader.real("otherDomainHopMs", plan.otherDomainHopMs, 0.0, maxMs);
    readEngine(reader.object("engine"), plan);
    plan.dispatching = readName<Dispatching>(reader, "dispatching",
        { { "one", Dispatching::One }, { "each-router", Dispatching::EachRouter },
            { "groups", Dispatching::Groups } });
    plan.groups = reader.number("groups", 1, 1, plan.engines);
    plan.takeover = readMilliseconds(reader, "takeoverMs", plan.takeover);
    plan.heedsAnswers = reader.number("heedsAnswers", 1, 0, 1) == 1;
    plan.listingDelay = readMilliseconds(reader, "listingDelayMs", plan.listingDelay);
    plan.drainTime = readMilliseconds(reader, "drainMs", plan.drainTime);
    plan.organisations = reader.number("organisations", 1, 1, maxOrganisations);
    plan.skew = reader.real("skew", plan.skew, 0.0, 10.0);
    plan.rate = reader.real("rate", plan.rate, 0.0, maxRate);
    plan.swing = reader.real("swing", plan.swing, 0.0, 1.0);
    plan.swingPeriod = readMilliseconds(reader, "swingPeriodMs", plan.swingPeriod);
    plan.retries = reader.number("returns", plan.retries, 0, 100);
    for (auto& item : reader.objects("kinds"))
        plan.kinds.push_back(readKind(item));
    if (plan.kinds.empty())
        reader.refuse("kinds", "must hold one kind or more");
    for (auto& item : reader.objects("surges"))
        plan.surges.push_back(readSurge(item));
    for (auto& item : reader.objects("failures"))
        plan.failures.push_back(readFailure(item));
    readPlacer(reader.optionalObject("placer"), plan);
    reader.finish();
    return plan;
}

} // namespace

auto PlacingPlan::parse(std::string_view text, std::string_view file) -> Result<PlacingPlan>
{
    return parseSettings<PlacingPlan>(text, file, readPlan);
}

auto PlacingPlan::load(const std::string& file) -> Result<PlacingPlan> { return loadSettings(file, parse); }

} // namespace camphorshunt::load
