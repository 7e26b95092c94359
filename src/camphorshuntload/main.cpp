#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "fleetrun.h"
#include "latencyprobe.h"
#include "loadrun.h"
#include "placingrun.h"
#include "plan.h"
#include "report.h"

ABSL_FLAG(std::string, plan, "", "load plan file, JSON with comments");
ABSL_FLAG(std::string, placing, "", "plan file to simulate with the placement code, JSON with comments");
ABSL_FLAG(std::string, fleet, "", "plan file to simulate with the control code, JSON with comments");
ABSL_FLAG(std::uint64_t, seed, 0, "overrides the seed of the simulated plan; 0: the seed of the plan");
ABSL_FLAG(std::string, name, "run", "name of the run in the table");
ABSL_FLAG(std::string, report, "", "output file for the measurements, JSON");
ABSL_FLAG(std::string, base, "oracle", "name of the run that ratios refer to");
ABSL_FLAG(std::uint64_t, latency, 0,
    "measure the latency of this many direct calls and calls through the daemon instead");

namespace {

using namespace camphorshunt;
using namespace camphorshunt::load;

constexpr auto badUsage = 2;

auto fail(const Error& error) -> int
{
    std::cerr << "camphorshuntload: " << error.text() << "\n";
    return badUsage;
}

/** Prints a table of the reports in `files`; the first element is the program name. */
auto compare(const std::vector<char*>& files) -> int
{
    auto reports = std::vector<boost::json::object> {};
    for (auto file = files.begin() + 1; file != files.end(); ++file) {
        auto stream = std::ifstream(*file, std::ios::binary);
        auto code = boost::system::error_code {};
        const auto value = boost::json::parse(std::string(std::istreambuf_iterator<char>(stream), {}), code);
        if (code || !value.is_object())
            return fail(failure(Error::Code::Malformed, *file, "is not a report"));
        reports.push_back(value.get_object());
    }
    std::cout << reportTable(reports, absl::GetFlag(FLAGS_base));
    return 0;
}

auto writeReport(const boost::json::object& report) -> int
{
    const auto file = absl::GetFlag(FLAGS_report);
    if (file.empty())
        return 0;
    auto stream = std::ofstream(file, std::ios::binary);
    stream << boost::json::serialize(report) << "\n";
    return stream ? 0 : fail(failure(Error::Code::Io, file, "cannot be written"));
}

auto runPlan(const Plan& plan) -> int
{
    auto run = LoadRun(plan);
    std::cout << "began" << std::endl;
    run.run();
    const auto report = reportJson(absl::GetFlag(FLAGS_name), plan, run);
    std::cout << reportTable({ &report, 1 }, absl::GetFlag(FLAGS_base));
    return writeReport(report);
}

auto runPlacing() -> int
{
    auto plan = PlacingPlan::load(absl::GetFlag(FLAGS_placing));
    if (!plan)
        return fail(plan.error());
    if (absl::GetFlag(FLAGS_seed) != 0)
        plan.value().seed = absl::GetFlag(FLAGS_seed);
    auto run = PlacingRun(plan.value());
    run.run();
    std::cout << run.outcome().text();
    return writeReport(run.outcome().json());
}

auto runFleet() -> int
{
    auto plan = FleetPlan::load(absl::GetFlag(FLAGS_fleet));
    if (!plan)
        return fail(plan.error());
    if (absl::GetFlag(FLAGS_seed) != 0)
        plan.value().seed = absl::GetFlag(FLAGS_seed);
    auto fleets = boost::json::array {};
    for (const auto size : plan.value().sizes) {
        auto run = FleetRun(plan.value(), size);
        run.run();
        std::cout << run.outcome().text() << std::endl;
        fleets.push_back(run.outcome().json());
    }
    return writeReport({ { "fleets", std::move(fleets) } });
}

auto runLatency(const Plan& plan) -> int
{
    auto probe = LatencyProbe(plan);
    probe.run(absl::GetFlag(FLAGS_latency));
    std::cout << probe.text();
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    absl::SetProgramUsageMessage("Sends a planned load to a fleet and measures the results.\n\n"
                                 "  camphorshuntload --plan=FILE [--name=NAME] [--report=FILE]\n"
                                 "  camphorshuntload --plan=FILE --latency=CALLS\n"
                                 "  camphorshuntload --placing=FILE [--seed=N] [--report=FILE]\n"
                                 "  camphorshuntload --fleet=FILE [--seed=N] [--report=FILE]\n"
                                 "  camphorshuntload [--base=NAME] REPORT...");
    const auto files = absl::ParseCommandLine(argc, argv);
    if (!absl::GetFlag(FLAGS_placing).empty())
        return runPlacing();
    if (!absl::GetFlag(FLAGS_fleet).empty())
        return runFleet();
    if (absl::GetFlag(FLAGS_plan).empty())
        return compare(files);
    const auto plan = Plan::load(absl::GetFlag(FLAGS_plan));
    if (!plan)
        return fail(plan.error());
    const auto needsUpstream = absl::GetFlag(FLAGS_latency) > 0;
    if (needsUpstream && (plan.value().upstreams.empty() || plan.value().organisations.empty()))
        return fail(failure(Error::Code::Invalid, "upstreams", "an upstream and an organisation are needed"));
    return needsUpstream ? runLatency(plan.value()) : runPlan(plan.value());
}
