#include "loglimiter.h"

namespace camphorshunt {

auto LogLimiter::admit(Time now, std::string_view event, std::uint64_t maxLines) -> Decision
{
    auto found = windows_.find(event);
    if (found == windows_.end())
        found = windows_.emplace(event, Window { now, 0 }).first;

    auto& window = found->second;
    auto decision = Decision {};
    if (now - window.begin >= std::chrono::seconds(1)) {
        decision.suppressedLines = window.lines > maxLines ? window.lines - maxLines : 0;
        window = { now, 0 };
    }
    decision.write = ++window.lines <= maxLines;
    return decision;
}

} // namespace camphorshunt
