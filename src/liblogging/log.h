#pragma once

#include <span>
#include <string_view>

#include "camphorshunt/action.h"

#include "loglimiter.h"

namespace camphorshunt {

/** Sets up easylogging++: one line an event on standard error, `level` and above. */
auto startLogging(std::string_view program, LogLevel level) -> void;

/**
 * Writes `time level program event key=value ...`; values with spaces are quoted. An event
 * with more than `maxLinesPerSecond` lines in a second is left out and counted. From any thread.
 */
auto writeLog(LogLevel level, std::string_view event, std::span<const LogField> fields,
    std::uint64_t maxLinesPerSecond = LogLimiter::maxLinesPerSecond) -> void;

} // namespace camphorshunt
