#include "report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/value_to.hpp>

namespace camphorshunt::load {

namespace json = boost::json;

namespace {

constexpr auto kilobyte = 1000.0;
constexpr auto megabyte = 1e6;
constexpr auto percent = 100.0;
constexpr auto milli = 1000.0;
constexpr auto gapsShown = std::size_t { 5 };
/** Interval between two points of a series in a report. */
constexpr auto seriesStep = std::chrono::milliseconds(200);

struct Column {
    const char* title;
    const char* field;
    int precision;
    /** If true, a column with the ratio to the base report follows. */
    bool ratio;
};

constexpr auto columns = std::array {
    Column { "gap", "gapUnits", 0, true },
    Column { "largest", "largestRequest", 0, false },
    Column { "util%", "utilisationPercent", 1, true },
    Column { "idle%", "idleWhileWaitingPercent", 2, false },
    Column { "idle s", "idleWhileWaitingSeconds", 2, false },
    Column { "done/s", "donePerSecond", 0, true },
    Column { "refused", "refused", 0, false },
    Column { "failed", "failed", 0, false },
    Column { "small p50ms", "smallP50Ms", 0, false },
    Column { "small p99ms", "smallP99Ms", 0, false },
    Column { "i.p50ms", "interactiveP50Ms", 0, false },
    Column { "i.p99ms", "interactiveP99Ms", 0, false },
    Column { "d.p50ms", "deferrableP50Ms", 0, false },
    Column { "sentKB/s", "sentKbPerSecondMean", 1, true },
    Column { "max", "sentKbPerSecondMax", 1, false },
    Column { "frames/s", "sentFramesPerSecondMean", 0, false },
    Column { "app/s", "appendsPerSecond", 1, false },
    Column { "cpu%", "processorPercentMean", 1, false },
    Column { "max", "processorPercentMax", 1, false },
    Column { "MBmax", "residentMbMax", 0, false },
};

auto addWaits(const Measurements& measurements, json::object& report) -> void
{
    for (const auto& [waitClass, waits] : measurements.waits()) {
        report[waitClass + "P50Ms"] = waits.quantile(0.5) * milli;
        report[waitClass + "P99Ms"] = waits.quantile(0.99) * milli;
        report[waitClass + "Count"] = waits.count();
    }
}

auto addGaps(const Measurements& measurements, json::object& report) -> void
{
    const auto gaps = fairnessGaps(measurements.series());
    report["gapUnits"] = gaps.empty() ? 0.0 : gaps.front().units;
    report["largestRequest"] = measurements.largestRequest();
    auto worst = json::array {};
    for (auto at = std::size_t {}; at < std::min(gaps.size(), gapsShown); ++at) {
        const auto& gap = gaps[at];
        worst.push_back({ { "first", gap.first }, { "second", gap.second }, { "units", gap.units },
            { "samples", gap.samples }, { "worstAt", gap.worstAt } });
    }
    report["worstGaps"] = std::move(worst);
}

auto addSlots(const Plan& plan, const LoadRun& run, json::object& report) -> void
{
    auto busy = 0.0;
    auto idle = 0.0;
    auto series = json::array {};
    const auto& points = run.sampler().points();
    const auto slots = static_cast<double>(plan.slots);
    auto stepEnd = points.empty() ? Clock::time_point {} : points.front().at + seriesStep;
    auto stepIdle = 0.0;
    auto stepPoints = 0.0;
    for (const auto& point : points) {
        busy += point.busy;
        idle += point.idleWhileWaiting;
        if (point.at >= stepEnd) {
            series.push_back(stepPoints > 0 ? stepIdle / stepPoints : 0.0);
            stepEnd += seriesStep;
            stepIdle = stepPoints = 0;
        }
        stepIdle += point.idleWhileWaiting;
        ++stepPoints;
    }
    const auto slotSamples = std::max(1.0, static_cast<double>(points.size()) * slots);
    const auto seconds = run.sampler().measuredSeconds();
    const auto tokens = static_cast<double>(run.measurements().total().outputTokens);
    report["utilisationPercent"] = percent * busy / slotSamples;
    report["tokenUtilisationPercent"] = percent * tokens * plan.tokenMs / milli / (seconds * slots);
    report["idleWhileWaitingPercent"] = percent * idle / slotSamples;
    report["idleWhileWaitingSeconds"] = seconds * idle / slotSamples;
    report["idleSlotsSeries"] = std::move(series);
    const auto& view = run.sampler().dispatchers();
    report["dispatcherIdlePercent"] = view.slots > 0 ? percent * view.idleWhileWaiting / view.slots : 0.0;
    report["dispatcherSlotsMean"] = view.samples > 0 ? view.slots / view.samples : 0.0;
    report["dispatcherUsedMean"] = view.samples > 0 ? view.used / view.samples : 0.0;
}

auto addCosts(const LoadRun& run, json::object& report) -> void
{
    const auto seconds = run.sampler().measuredSeconds();
    const auto costs = run.sampler().costs();
    auto sum = DaemonCost {};
    auto highest = DaemonCost {};
    auto daemons = json::object {};
    for (const auto& [name, cost] : costs) {
        sum.sentBytes += cost.sentBytes;
        sum.sentFrames += cost.sentFrames;
        sum.logAppends += cost.logAppends;
        sum.processorSeconds += cost.processorSeconds;
        highest.sentBytes = std::max(highest.sentBytes, cost.sentBytes);
        highest.processorSeconds = std::max(highest.processorSeconds, cost.processorSeconds);
        highest.residentBytes = std::max(highest.residentBytes, cost.residentBytes);
        daemons[name] = { { "sentBytes", cost.sentBytes }, { "receivedBytes", cost.receivedBytes },
            { "sentFrames", cost.sentFrames }, { "receivedFrames", cost.receivedFrames },
            { "logAppends", cost.logAppends }, { "processorSeconds", cost.processorSeconds },
            { "residentBytes", cost.residentBytes } };
    }
    const auto perDaemon = std::max(1.0, static_cast<double>(costs.size())) * seconds;
    report["sentKbPerSecondMean"] = sum.sentBytes / kilobyte / perDaemon;
    report["sentKbPerSecondMax"] = highest.sentBytes / kilobyte / seconds;
    report["sentFramesPerSecondMean"] = sum.sentFrames / perDaemon;
    report["appendsPerSecond"] = sum.logAppends / seconds;
    report["processorPercentMean"] = percent * sum.processorSeconds / perDaemon;
    report["processorPercentMax"] = percent * highest.processorSeconds / seconds;
    report["residentMbMax"] = highest.residentBytes / megabyte;
    report["daemons"] = std::move(daemons);
}

/** Returns the units of service in each interval of `seriesStep`. */
auto serviceSeries(const ServiceSeries& series) -> json::array
{
    constexpr auto step = static_cast<std::size_t>(seriesStep / sampleInterval);
    auto units = json::array {};
    for (auto at = step; at < series.samples.size(); at += step)
        units.push_back(series.samples[at].service - series.samples[at - step].service);
    return units;
}

auto addOrganisations(const Plan& plan, const Measurements& measurements, json::object& report) -> void
{
    auto organisations = json::array {};
    for (auto at = std::size_t {}; at < plan.organisations.size(); ++at) {
        const auto& counts = measurements.counts(at);
        organisations.push_back({ { "name", plan.organisations[at].name }, { "sent", counts.sent },
            { "done", counts.done }, { "refused", counts.refused }, { "failed", counts.failed },
            { "outputTokens", counts.outputTokens },
            { "service", serviceSeries(measurements.series()[at]) } });
    }
    report["organisations"] = std::move(organisations);
}

auto valueOf(const json::object& report, std::string_view field) -> double
{
    const auto* const found = report.if_contains(field);
    return found != nullptr && found->is_number() ? found->to_number<double>() : 0.0;
}

auto nameOf(const json::object& report) -> std::string
{
    const auto* const name = report.if_contains("name");
    return name != nullptr && name->is_string() ? std::string(name->get_string()) : std::string();
}

auto fixed(double value, int precision) -> std::string
{
    auto text = std::array<char, 64> {};
    std::snprintf(text.data(), text.size(), "%.*f", precision, value);
    return text.data();
}

auto markdownRow(const std::vector<std::string>& cells) -> std::string
{
    auto row = std::string("|");
    for (const auto& cell : cells)
        row += " " + cell + " |";
    return row + "\n";
}

} // namespace

auto reportJson(std::string_view name, const Plan& plan, const LoadRun& run) -> json::object
{
    const auto& measurements = run.measurements();
    const auto total = measurements.total();
    const auto seconds = run.sampler().measuredSeconds();
    auto report = json::object { { "name", name }, { "seconds", seconds }, { "sent", total.sent },
        { "done", total.done }, { "refused", total.refused }, { "failed", total.failed },
        { "outputTokens", total.outputTokens },
        { "donePerSecond", static_cast<double>(total.done) / seconds } };
    addGaps(measurements, report);
    addSlots(plan, run, report);
    addWaits(measurements, report);
    addCosts(run, report);
    addOrganisations(plan, measurements, report);
    return report;
}

auto reportTable(std::span<const json::object> reports, std::string_view base) -> std::string
{
    const auto found = std::ranges::find(reports, base, nameOf);
    auto titles = std::vector<std::string> { "run" };
    for (const auto& column : columns) {
        titles.emplace_back(column.title);
        if (column.ratio)
            titles.emplace_back("ratio");
    }
    auto table = markdownRow(titles) + markdownRow(std::vector<std::string>(titles.size(), "---"));
    for (const auto& report : reports) {
        auto cells = std::vector<std::string> { nameOf(report) };
        for (const auto& column : columns) {
            const auto value = valueOf(report, column.field);
            cells.push_back(fixed(value, column.precision));
            if (!column.ratio)
                continue;
            const auto baseValue = found == reports.end() ? 0.0 : valueOf(*found, column.field);
            cells.push_back(baseValue > 0 ? fixed(value / baseValue, 2) : "-");
        }
        table += markdownRow(cells);
    }
    return table;
}

} // namespace camphorshunt::load
