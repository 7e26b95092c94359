#pragma once

#include <cstddef>
#include <istream>

#include "camphorshunt/result.h"

namespace camphorshunt::ctl {

/** How much of a trace was replayed without a difference. */
struct ReplaySummary {
    std::size_t steps {};
    std::size_t requests {};
    std::size_t expectedOutcomes {};
};

/**
 * Feeds the events of a trace to a core with the recorded settings. Fails at the first line that is
 * malformed, whose actions differ from the recorded ones, or that violates a rule of OutcomeCheck; the
 * error's field names the line. Fails after the last line if a request did not end with its expected outcome;
 * the error's field names the request. A last line without a newline, as a killed daemon leaves it, is
 * ignored.
 */
auto replayTrace(std::istream& trace) -> Result<ReplaySummary>;

} // namespace camphorshunt::ctl
