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
 * Feeds a recorded run to a core made with the recorded settings. Fails at the first step whose actions
 * are not the recorded ones, or that breaks a rule of OutcomeCheck, and on a stated outcome that did not
 * come; the error's field names the line. A last line without its end, left by a killed daemon, is passed
 * over.
 */
auto replayTrace(std::istream& trace) -> Result<ReplaySummary>;

} // namespace camphorshunt::ctl
