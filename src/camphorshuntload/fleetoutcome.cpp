#include "fleetoutcome.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <boost/json/array.hpp>

namespace camphorshunt::load {

namespace {

namespace json = boost::json;

constexpr auto nameWidth = 34;
constexpr auto columnWidth = 12;

auto milliseconds(Duration time) -> double { return double(time.count()) / 1000.0; }

auto loadJson(const FleetLoad& load) -> json::object
{
    return { { "framesSent", load.framesSent }, { "framesReceived", load.framesReceived },
        { "bytesSent", load.bytesSent }, { "bytesReceived", load.bytesReceived },
        { "connections", load.connections }, { "processorPercent", load.processor } };
}

auto writeLoad(std::ostream& out, const std::string& name, const FleetLoad& load) -> void
{
    out << std::setw(nameWidth) << name << std::setw(columnWidth) << load.framesSent << std::setw(columnWidth)
        << load.framesReceived << std::setw(columnWidth) << load.bytesSent / 1000.0 << std::setw(columnWidth)
        << load.bytesReceived / 1000.0 << std::setw(columnWidth) << load.connections << std::setw(columnWidth)
        << load.processor << "\n";
}

} // namespace

auto FleetOutcome::phase(const std::string& name) const -> const FleetPhase*
{
    const auto found = std::ranges::find(phases, name, &FleetPhase::name);
    return found == phases.end() ? nullptr : &*found;
}

auto FleetOutcome::text() const -> std::string
{
    auto out = std::ostringstream {};
    out << std::fixed << std::setprecision(1) << std::left << routers << " routers, " << requests
        << " requests: " << refused << " refused, " << grantedTwice << " granted twice, " << lost
        << " lost, longest wait " << milliseconds(longestWait) << " ms; grants after a pause "
        << grantsAfterPause << "; real time " << milliseconds(realTime) / 1000.0 << " s\n";
    out << std::setw(nameWidth) << "phase";
    for (const auto* const column : { "unserved", "disagreed", "outdated", "accepted/s", "store/s" })
        out << std::setw(columnWidth) << column;
    out << "\n";
    for (const auto& phase : phases) {
        out << std::setw(nameWidth) << phase.name << std::setw(columnWidth) << milliseconds(phase.unserved)
            << std::setw(columnWidth) << milliseconds(phase.disagreed) << std::setw(columnWidth)
            << milliseconds(phase.outdated) << std::setw(columnWidth) << phase.mostAccepted
            << std::setw(columnWidth) << phase.mostStoreCalls << "\n";
    }
    out << std::setw(nameWidth) << "steady state";
    for (const auto* const column :
        { "sent/s", "received/s", "KB out/s", "KB in/s", "connections", "core %" })
        out << std::setw(columnWidth) << column;
    out << "\n";
    writeLoad(out, "busiest small router", small);
    writeLoad(out, "busiest hub", hub);
    writeLoad(out, "placer", placer);
    return out.str();
}

auto FleetOutcome::json() const -> json::object
{
    auto rows = json::array {};
    for (const auto& phase : phases) {
        rows.push_back(json::object { { "name", phase.name }, { "unservedMs", milliseconds(phase.unserved) },
            { "disagreedMs", milliseconds(phase.disagreed) }, { "outdatedMs", milliseconds(phase.outdated) },
            { "mostAccepted", phase.mostAccepted }, { "mostStoreCalls", phase.mostStoreCalls } });
    }
    return { { "routers", routers }, { "phases", std::move(rows) }, { "small", loadJson(small) },
        { "hub", loadJson(hub) }, { "placer", loadJson(placer) }, { "requests", requests },
        { "refused", refused }, { "grantedTwice", grantedTwice }, { "lost", lost },
        { "longestWaitMs", milliseconds(longestWait) }, { "grantsAfterPause", grantsAfterPause },
        { "realSeconds", milliseconds(realTime) / 1000.0 } };
}

} // namespace camphorshunt::load
