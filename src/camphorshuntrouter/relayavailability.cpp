#include "relay.h"

#include "clock.h"

// What upstreams say about their availability in their answers.

namespace camphorshunt::router {

auto Relay::recordAvailability(const UpstreamEntry& upstream, const platform::EngineAnswer& answer) -> void
{
    if (answer.restDefect != platform::RestDefect::None) {
        log(LogLevel::Warning, "malformed-retry-after",
            { { "upstream", upstream.name },
                { "defect", std::string(platform::restDefectName(answer.restDefect)) } });
    }
    if (!answer.leaving && !answer.rest)
        return;
    const auto now = steadyNow();
    if (answer.leaving && availability_.recordLeaving(now, upstream.process())) {
        metrics_.upstreamLeaves();
        log(LogLevel::Info, "upstream-leaving",
            { { "upstream", upstream.name }, { "address", upstream.endpoint.text() },
                { "status", std::to_string(answer.status) } });
    }
    if (answer.rest && availability_.recordRest(now, upstream.process(), now + *answer.rest)) {
        metrics_.upstreamRests();
        log(LogLevel::Info, "upstream-rests",
            { { "upstream", upstream.name }, { "address", upstream.endpoint.text() },
                { "ms", std::to_string(answer.rest->count()) } });
    }
}

auto Relay::sweepAvailability(Time now) -> void
{
    for (const auto id : availability_.sweep(now)) {
        const auto entry = byId_.find(id);
        log(LogLevel::Info, "upstream-rested",
            { { "upstream", entry == byId_.end() ? std::to_string(id.value) : entry->second->name } });
    }
    metrics_.setAvailability(availability_.leaving(), availability_.resting(now));
}

} // namespace camphorshunt::router
