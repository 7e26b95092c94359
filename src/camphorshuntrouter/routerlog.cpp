#include "routerlog.h"

#include "log.h"

namespace camphorshunt::router {

namespace {

/** Lines in the queue: enough for some seconds at high load. */
constexpr auto maxWaitingLines = std::size_t { 2048 };

} // namespace

RouterLog::RouterLog()
    : lines_(maxWaitingLines)
{
}

RouterLog::~RouterLog()
{
    lines_.consume_all([](WriteLog* line) { delete line; });
}

auto RouterLog::write(LogLevel level, std::string_view event, std::vector<LogField> fields) -> void
{
    auto line = std::make_unique<WriteLog>(WriteLog { level, std::string(event), std::move(fields) });
    // The queue owns the line after a successful push.
    if (lines_.bounded_push(line.get()))
        static_cast<void>(line.release());
    else
        droppedLines_.fetch_add(1, std::memory_order_relaxed);
}

auto RouterLog::drain() -> void
{
    lines_.consume_all([](WriteLog* waiting) {
        const auto line = std::unique_ptr<WriteLog>(waiting);
        writeLog(line->level, line->event, line->fields, linesPerSecond);
    });
    if (const auto count = droppedLines_.exchange(0); count > 0) {
        const auto fields = std::vector<LogField> { { "lines", std::to_string(count) } };
        writeLog(LogLevel::Warning, "log-full", fields, linesPerSecond);
    }
}

} // namespace camphorshunt::router
