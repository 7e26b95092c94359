#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/signal_set.hpp>

#include "enginestandin.h"
#include "logstandin.h"
#include "platformengine.h"
#include "platformstore.h"
#include "servicestandin.h"
#include "vmsstandin.h"

ABSL_FLAG(std::string, role, "", "engine, service, log, vms, platform-engine or platform-store");
ABSL_FLAG(std::string, name, "engine", "platform-engine: name in the platform's directory");
ABSL_FLAG(std::string, crash_part, "", "platform-engine: prompt part under which the process ends");
ABSL_FLAG(std::string, listen, "127.0.0.1:0", "IP address and port; port 0 selects a free port");
ABSL_FLAG(std::uint32_t, slots, 4, "engine, service: maximum concurrent requests");
ABSL_FLAG(double, token_ms, 1, "engine: time per output token, in ms");
ABSL_FLAG(double, prompt_ms, 10, "engine: prefill time per 1,000 prompt tokens, in ms");
ABSL_FLAG(double, load_lag_ms, 0, "engine: age of the reported load, in ms");
ABSL_FLAG(
    double, resume_window_ms, 10000, "engine: how long a stream without a reader can be resumed, in ms");
ABSL_FLAG(std::uint32_t, cached_prefixes, 16, "engine: capacity of the cache of prompt prefixes");
ABSL_FLAG(bool, check_fencing, false, "engine: answer 409 to a fencing token older than one seen before");
ABSL_FLAG(double, call_ms, 1, "service: time per call, in ms");
ABSL_FLAG(std::uint32_t, retention_records, 0, "log: records kept in each stream, 0 for all");
ABSL_FLAG(std::uint32_t, appends_per_second, 0, "log: maximum appends per second, 0 for no limit");
ABSL_FLAG(double, lag_ms, 0, "vms: time until a change becomes visible, in ms");

namespace {

using namespace camphorshunt;
using namespace camphorshunt::standins;

constexpr auto badUsage = 2;

auto fail(const Error& error) -> int
{
    std::cerr << "standins: " << error.text() << "\n";
    return badUsage;
}

auto optionsFromFlags() -> Result<StandInOptions>
{
    const auto listen = Endpoint::parse(absl::GetFlag(FLAGS_listen), "--listen");
    if (!listen)
        return listen.error();
    auto options = StandInOptions {};
    options.listen = listen.value();
    options.name = absl::GetFlag(FLAGS_name);
    options.crashPart = absl::GetFlag(FLAGS_crash_part);
    options.slots = absl::GetFlag(FLAGS_slots);
    options.tokenTime = Milliseconds(absl::GetFlag(FLAGS_token_ms));
    options.promptTime = Milliseconds(absl::GetFlag(FLAGS_prompt_ms));
    options.loadLag = Milliseconds(absl::GetFlag(FLAGS_load_lag_ms));
    options.resumeWindow = Milliseconds(absl::GetFlag(FLAGS_resume_window_ms));
    options.cachedPrefixes = absl::GetFlag(FLAGS_cached_prefixes);
    options.checkFencing = absl::GetFlag(FLAGS_check_fencing);
    options.callTime = Milliseconds(absl::GetFlag(FLAGS_call_ms));
    options.retentionRecords = absl::GetFlag(FLAGS_retention_records);
    options.appendsPerSecond = absl::GetFlag(FLAGS_appends_per_second);
    options.listLag = Milliseconds(absl::GetFlag(FLAGS_lag_ms));
    for (const auto time : { options.tokenTime, options.promptTime, options.loadLag, options.resumeWindow,
             options.callTime, options.listLag }) {
        if (!std::isfinite(time.count()) || time.count() < 0)
            return failure(Error::Code::Invalid, "--*_ms", "times must be finite and at least 0");
    }
    return options;
}

/** Abseil names flags with underscores; `--token-ms=2` is read as `--token_ms=2`. */
auto dashesToUnderscores(char* argument) -> void
{
    const auto text = std::string_view(argument);
    if (text.starts_with("--") && text.size() > 2)
        std::replace(argument + 2, argument + std::min(text.find('='), text.size()), '-', '_');
}

template <typename Role> auto run(const StandInOptions& options) -> int
{
    auto context = boost::asio::io_context(1);
    const auto role = Role::start(context, options);
    if (!role)
        return fail(role.error());
    auto signals = boost::asio::signal_set(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    std::cout << "listening " << role.value()->endpoint().text() << std::endl;
    context.run();
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    absl::SetProgramUsageMessage(
        "Test double of an upstream or a platform service, for tests and experiments.");
    std::for_each(argv + 1, argv + argc, dashesToUnderscores);
    absl::ParseCommandLine(argc, argv);
    const auto options = optionsFromFlags();
    if (!options)
        return fail(options.error());
    const auto role = absl::GetFlag(FLAGS_role);
    const auto roles
        = std::map<std::string_view, int (*)(const StandInOptions&)> { { "engine", run<EngineStandIn> },
              { "service", run<ServiceStandIn> }, { "log", run<LogStandIn> }, { "vms", run<VmsStandIn> },
              { "platform-engine", run<PlatformEngine> }, { "platform-store", run<PlatformStore> } };
    const auto found = roles.find(role);
    if (found != roles.end())
        return found->second(options.value());
    return fail(failure(Error::Code::Invalid, "--role", "'" + role + "' is not a role; see --help"));
}
