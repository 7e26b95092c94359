#include "loglimiter.h"

namespace camphorshunt {

auto LogLimiter::take(Time now, std::string_view event, std::uint64_t mostLines) -> Verdict
{
    auto found = windows_.find(event);
    if (found == windows_.end())
        found = windows_.emplace(event, Window { now, 0 }).first;

    auto& window = found->second;
    auto verdict = Verdict {};
    if (now - window.begin >= std::chrono::seconds(1)) {
        verdict.leftOut = window.lines > mostLines ? window.lines - mostLines : 0;
        window = { now, 0 };
    }
    verdict.write = ++window.lines <= mostLines;
    return verdict;
}

} // namespace camphorshunt
