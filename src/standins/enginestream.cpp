#include "enginestream.h"

#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace camphorshunt::standins {

namespace json = boost::json;

auto EngineStream::eventText(std::uint64_t id) const -> std::string
{
    const auto text = std::to_string(id);
    return "id: " + text + "\ndata: r" + tag + "-t" + text + "\n\n";
}

auto EngineStream::doneText() const -> std::string
{
    const auto totals = json::object { { "promptTokens", promptTokens }, { "outputTokens", outputTokens } };
    return "event: done\ndata: " + json::serialize(totals) + "\n\n";
}

auto EngineStream::send(const std::string& event) -> void
{
    if (!reader || applyFault())
        return;
    ++sentEvents;
    reader->write(event);
}

auto EngineStream::endReader(bool complete) -> void
{
    if (!reader || applyFault())
        return;
    const auto exchange = std::exchange(reader, nullptr);
    if (complete)
        exchange->finish();
    else
        exchange->abort();
}

auto EngineStream::applyFault() -> bool
{
    const auto affectsStream = fault.mode == FaultMode::Cut || fault.mode == FaultMode::Silent;
    if (!affectsStream || sentEvents < fault.afterEvents)
        return false;
    // A silent stream keeps its reader and leaves the connection open.
    if (fault.mode == FaultMode::Silent)
        return true;
    const auto lostReader = std::exchange(reader, nullptr);
    if (lostReader->unwrittenBytes() == 0)
        lostReader->abort();
    else
        lostReader->onWritten([lostReader](std::size_t) {
            if (lostReader->unwrittenBytes() == 0)
                lostReader->abort();
        });
    return true;
}

} // namespace camphorshunt::standins
