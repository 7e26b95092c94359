#pragma once

#include <string>
#include <string_view>

#include "camphorshunt/action.h"
#include "camphorshunt/core.h"
#include "camphorshunt/event.h"
#include "camphorshunt/result.h"
#include "camphorshunt/time.h"

namespace camphorshunt {

/** One step of a trace: an event and the actions that the core returned for it. */
struct TraceStep {
    Time time;
    Event event;
    Actions actions;
};

/** The first line of a trace: the settings of the core. */
auto traceHeader(const CoreSettings& settings) -> std::string;
auto parseTraceHeader(std::string_view line) -> Result<CoreSettings>;

/** `{"time":<microseconds>,"event":{"RequestArrived":{...}},"actions":[{"SendAttempt":{...}},...]}`. */
auto traceLine(Time time, const Event& event, const Actions& actions) -> std::string;
auto parseTraceLine(std::string_view line) -> Result<TraceStep>;

} // namespace camphorshunt
