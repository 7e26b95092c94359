#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "log.h"
#include "router.h"
#include "routersettings.h"

#include "platform/environment.h"

ABSL_FLAG(std::string, settings, "", "settings file of this router, JSON with comments");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace {

using camphorshunt::platform::settingsVariable;

constexpr auto invalidSettingsExitCode = 2;

auto failWith(const std::string& message) -> int
{
    std::cerr << "camphorshuntrouter: " << message << '\n';
    return invalidSettingsExitCode;
}

auto settingsFile() -> std::string
{
    auto file = absl::GetFlag(FLAGS_settings);
    const auto* const named = std::getenv(settingsVariable);
    return file.empty() && named != nullptr ? named : file;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    absl::SetProgramUsageMessage("Routes callers' requests to model engines and plain services.\n"
                                 "Example: camphorshuntrouter --settings=/etc/camphorshunt/router.json");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    if (arguments.size() > 1)
        return failWith(std::string("'") + arguments[1] + "' is not a flag; see --help");
    const auto file = settingsFile();
    if (file.empty())
        return failWith(std::string("--settings: no settings file given; name it with this flag or in ")
            + settingsVariable);
    auto settings = camphorshunt::router::RouterSettings::load(file);
    if (!settings)
        return failWith(settings.error().text());
    if (const auto read = settings.value().readEnvironment(std::getenv); !read)
        return failWith(read.error().text());
    if (absl::GetFlag(FLAGS_check)) {
        std::cout << file << ": settings are valid\n";
        return EXIT_SUCCESS;
    }

    std::signal(SIGPIPE, SIG_IGN);
    camphorshunt::startLogging("camphorshuntrouter", camphorshunt::LogLevel::Info);
    const auto router = camphorshunt::router::Router::create(settings.value(), file);
    if (!router)
        return failWith(router.error().text());
    router.value()->run();
    return EXIT_SUCCESS;
}
