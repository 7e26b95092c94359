#include "routersettings.h"

#include <cmath>
#include <fstream>
#include <iterator>
#include <optional>

#include "settingsreader.h"

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

auto readRetries(SettingsReader bounds) -> RetryWindow::Settings
{
    auto retries = RetryWindow::Settings {};
    retries.ratio = bounds.real("retryRatio", retries.ratio, 0, 1);
    retries.spare = bounds.real("retrySpare", retries.spare, 0, 1e6);
    const auto seconds = bounds.real("retryWindowSeconds", 10, 1, 3600);
    retries.window = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    bounds.finish();
    return retries;
}

} // namespace

auto RouterSettings::parse(std::string_view text, std::string_view file) -> Result<RouterSettings>
{
    const auto object = parseSettingsObject(text, file);
    if (!object)
        return object.error();
    auto error = std::optional<Error> {};
    auto reader = SettingsReader(object.value(), {}, error);
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
    const auto stopSeconds = limits.real("stopSeconds", 8, 0.1, 3600);
    settings.stopTime = milliseconds(static_cast<milliseconds::rep>(std::lround(stopSeconds * 1000)));
    limits.finish();
    settings.retries = readRetries(reader.object("bounds"));
    reader.finish();
    if (error)
        return failure(error->code, std::string(file) + ": " + error->field, std::move(error->message));
    return settings;
}

auto RouterSettings::load(const std::string& file) -> Result<RouterSettings>
{
    auto stream = std::ifstream(file);
    if (!stream)
        return failure(Error::Code::Io, file, "can't be read");
    const auto text = std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
    return parse(text, file);
}

} // namespace camphorshunt::router
