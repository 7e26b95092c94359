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
    if (!reader || faultMet())
        return;
    ++sentEvents;
    reader->write(event);
}

auto EngineStream::endReader(bool whole) -> void
{
    if (!reader || faultMet())
        return;
    const auto exchange = std::exchange(reader, nullptr);
    if (whole)
        exchange->finish();
    else
        exchange->abort();
}

auto EngineStream::faultMet() -> bool
{
    const auto concerns = fault.mode == FaultMode::Cut || fault.mode == FaultMode::Silent;
    if (!concerns || sentEvents < fault.afterEvents)
        return false;
    // The reader of a silent stream is kept, with its connection open.
    if (fault.mode == FaultMode::Silent)
        return true;
    const auto cut = std::exchange(reader, nullptr);
    if (cut->unwrittenBytes() == 0)
        cut->abort();
    else
        cut->onWritten([cut](std::size_t) {
            if (cut->unwrittenBytes() == 0)
                cut->abort();
        });
    return true;
}

} // namespace camphorshunt::standins
