#include "camphorshunt/enginestate.h"

namespace camphorshunt {

namespace {

/** No engine starts again sooner than this after it has ended. */
constexpr auto shortestRestart = Duration(std::chrono::seconds(1));

} // namespace

auto engineStateName(EngineState state) -> std::string_view
{
    switch (state) {
    case EngineState::Alive:
        return "alive";
    case EngineState::Ended:
        return "ended";
    case EngineState::Unknown:
        break;
    }
    return "unknown";
}

auto engineStateOf(const UpstreamProcess& process, const EngineQueryResult& result, Duration sinceBreak)
    -> EngineState
{
    using Outcome = EngineQueryResult::Outcome;
    if (result.outcome == Outcome::Refused)
        return EngineState::Ended;
    if (result.outcome == Outcome::Unanswered)
        return EngineState::Unknown;
    if (result.startedAt && process.startedAt.count() != 0)
        return *result.startedAt > process.startedAt ? EngineState::Ended : EngineState::Alive;
    return sinceBreak < shortestRestart ? EngineState::Alive : EngineState::Unknown;
}

} // namespace camphorshunt
