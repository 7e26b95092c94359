#include "camphorshunt/action.h"

namespace camphorshunt {

auto outcomeName(RequestOutcome outcome) -> std::string_view
{
    switch (outcome) {
    case RequestOutcome::Done:
        return "done";
    case RequestOutcome::NotRun:
        return "not-run";
    case RequestOutcome::Unknown:
        return "unknown";
    case RequestOutcome::Failed:
        return "failed";
    }
    return "unknown";
}

} // namespace camphorshunt
