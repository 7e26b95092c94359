#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "daemon.h"
#include "log.h"
#include "settings.h"

ABSL_FLAG(std::string, settings, "", "file with this daemon's settings, JSON with comments");
ABSL_FLAG(std::string, log_level, "info", "minimum level to log: debug, info, warning or error");
ABSL_FLAG(std::string, record, "", "file for the core's events and actions as JSON lines");
ABSL_FLAG(
    std::uint64_t, record_limit, 0, "size limit of the record in bytes; 0 uses the limit in the settings");

namespace {

using camphorshunt::LogLevel;

constexpr auto wrongSettings = 2;

auto parseLevel(const std::string& text) -> std::optional<LogLevel>
{
    if (text == "debug")
        return LogLevel::Debug;
    if (text == "info")
        return LogLevel::Info;
    if (text == "warning")
        return LogLevel::Warning;
    if (text == "error")
        return LogLevel::Error;
    return std::nullopt;
}

auto refuse(const std::string& message) -> int
{
    std::cerr << "camphorshuntd: " << message << '\n';
    return wrongSettings;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    absl::SetProgramUsageMessage(
        "Routes callers' requests to model engines and plain services.\n"
        "Example: camphorshuntd --settings=/etc/camphorshunt/r1.json --log_level=info");
    const auto rest = absl::ParseCommandLine(argc, argv);
    if (rest.size() > 1)
        return refuse(std::string("'") + rest[1] + "' is not a flag; see --help");
    const auto level = parseLevel(absl::GetFlag(FLAGS_log_level));
    if (!level)
        return refuse("--log_level: must be debug, info, warning or error");
    if (absl::GetFlag(FLAGS_settings).empty())
        return refuse("--settings: required; the file with this daemon's settings");

    auto settings = camphorshunt::Settings::load(absl::GetFlag(FLAGS_settings));
    if (settings.has_error())
        return refuse(settings.error().text());
    if (!absl::GetFlag(FLAGS_record).empty())
        settings.value().recordFile = absl::GetFlag(FLAGS_record);
    if (absl::GetFlag(FLAGS_record_limit) != 0)
        settings.value().recordLimitBytes = absl::GetFlag(FLAGS_record_limit);

    std::signal(SIGPIPE, SIG_IGN);
    camphorshunt::startLogging("camphorshuntd", *level);
    const auto daemon = camphorshunt::Daemon::create(settings.value());
    if (daemon.has_error())
        return refuse(daemon.error().text());
    std::cout << "listening " << daemon.value()->endpointsText() << std::endl;
    daemon.value()->run();
    return EXIT_SUCCESS;
}
