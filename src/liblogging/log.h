#pragma once

#include <span>
#include <string_view>

#include "camphorshunt/action.h"

#include "loglimiter.h"

namespace camphorshunt {

/** Configures easylogging++ to write one line per event of `level` and above to standard output. */
auto startLogging(std::string_view program, LogLevel level) -> void;

/**
 * Writes a line of `key=value` pairs: time, level, program, event, then `fields`. Empty values and
 * values with spaces or special characters are quoted. Lines of one event above `maxLinesPerSecond`
 * are suppressed, and a `log-limited` line later reports their number. Thread-safe.
 */
auto writeLog(LogLevel level, std::string_view event, std::span<const LogField> fields,
    std::uint64_t maxLinesPerSecond = LogLimiter::maxLinesPerSecond) -> void;

} // namespace camphorshunt
