#include "routersettings.h"

#include <cmath>
#include <cstdlib>

#include "settingsfile.h"

#include "platform/environment.h"

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

constexpr auto maxColdOvershoot = 1000.0;
constexpr auto maxColdSlack = 1e6;

auto readBounds(SettingsReader bounds, RouterSettings& settings) -> void
{
    auto& retries = settings.retries;
    retries.ratio = bounds.real("retryRatio", retries.ratio, 0, 1);
    retries.burstAllowance = bounds.real("retrySpare", retries.burstAllowance, 0, 1e6);
    const auto seconds = bounds.real("retryWindowSeconds", 10, 1, 3600);
    retries.window = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    settings.coldOvershoot = bounds.real("coldOvershoot", settings.coldOvershoot, 1, maxColdOvershoot);
    settings.coldSlack = bounds.real("coldSlack", settings.coldSlack, 0, maxColdSlack);
    bounds.finish();
}

/** In megabytes. With less the router's own state leaves nothing for callers. */
constexpr auto leastMemory = 32.0;

/** Leaves `value` as it is if the variable is missing or empty. */
auto readVariable(const RouterSettings::Environment& environment, const char* name, double least, double most,
    double& value) -> Result<void>
{
    const auto* const text = environment(name);
    if (text == nullptr || *text == '\0')
        return boost::outcome_v2::success();
    auto* end = static_cast<char*>(nullptr);
    const auto number = std::strtod(text, &end);
    if (*end != '\0' || !(number >= least && number <= most))
        return failure(Error::Code::Invalid, name, "must be a number in range");
    value = number;
    return boost::outcome_v2::success();
}

auto readSettings(SettingsReader& reader) -> RouterSettings
{
    auto settings = RouterSettings {};
    settings.name = reader.text("name");
    settings.failureDomain = reader.text("failureDomain");
    auto listen = reader.object("listen");
    settings.callers = listen.endpoint("callers");
    settings.readiness = listen.endpoint("readiness");
    settings.peers = listen.endpoint("peers");
    settings.metrics = listen.endpoint("metrics");
    listen.finish();
    settings.seeds = reader.endpoints("seeds");
    settings.store = reader.endpoint("store");
    auto limits = reader.object("limits");
    settings.processorShare = limits.real("processorShare", 1, 0.001, 1024);
    settings.descriptors = limits.number("descriptors", settings.descriptors, 64, 1U << 24U);
    settings.memoryMegabytes = limits.real("memoryMb", 0, leastMemory, 1e7);
    const auto stopSeconds = limits.real("stopSeconds", 8, 0.1, 3600);
    settings.stopTime = milliseconds(static_cast<milliseconds::rep>(std::lround(stopSeconds * 1000)));
    limits.finish();
    readBounds(reader.object("bounds"), settings);
    reader.finish();
    return settings;
}

} // namespace

auto RouterSettings::parse(std::string_view text, std::string_view file) -> Result<RouterSettings>
{
    return parseSettings<RouterSettings>(text, file, readSettings);
}

auto RouterSettings::readEnvironment(const Environment& environment) -> Result<void>
{
    const auto overshoot
        = readVariable(environment, platform::coldOvershootVariable, 1, maxColdOvershoot, coldOvershoot);
    return overshoot ? readVariable(environment, platform::coldSlackVariable, 0, maxColdSlack, coldSlack)
                     : overshoot;
}

auto RouterSettings::load(const std::string& file) -> Result<RouterSettings>
{
    return loadSettings(file, parse);
}

} // namespace camphorshunt::router
