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
    const auto isNewlyLeaving = answer.leaving && availability_.recordLeaving(now, upstream.process());
    if (isNewlyLeaving) {
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
    if (isNewlyLeaving || answer.rest)
        toScheduler_.push(PeerAvailability { upstream.service, upstream.process(), isNewlyLeaving,
            answer.rest.value_or(std::chrono::milliseconds(0)) });
}

auto Relay::recordOtherSender(const UpstreamEntry& addressed, const AnswerIntake::OtherSender& other) -> void
{
    if (other.misdirected && availability_.recordLeaving(steadyNow(), addressed.process())) {
        // The process that had the address has ended.
        log(LogLevel::Info, "upstream-replaced",
            { { "upstream", addressed.name }, { "address", addressed.endpoint.text() },
                { "by", other.name } });
        repeatAvailability(addressed);
    }
    const auto listed = byId_.find(idOf<UpstreamId>(other.name));
    const auto isListed = listed != byId_.end();
    if (!other.leaving || (isListed && listed->second->endpoint != addressed.endpoint))
        return;
    auto sender = addressed;
    sender.name = other.name;
    sender.startedAt = isListed ? listed->second->startedAt : std::chrono::milliseconds(0);
    auto answer = platform::EngineAnswer {};
    answer.leaving = true;
    recordAvailability(sender, answer);
}

auto Relay::repeatAvailability(const UpstreamEntry& upstream) -> void
{
    const auto now = steadyNow();
    const auto from = availability_.sendableFrom(now, upstream.process());
    // The placer learns of evacuations from the store, and they end.
    if (from == now || availability_.isEvacuated(upstream.id()))
        return;
    toScheduler_.push(PeerAvailability { upstream.service, upstream.process(), !from,
        from ? std::chrono::ceil<std::chrono::milliseconds>(*from - now) : std::chrono::milliseconds(0) });
}

auto Relay::handle(const UpstreamLeaves& leaves) -> void
{
    if (!availability_.recordLeaving(steadyNow(), leaves.process))
        return;
    const auto entry = byId_.find(leaves.process.upstream);
    const auto& id = leaves.process.upstream;
    log(LogLevel::Info, "upstream-leaving",
        { { "upstream", entry == byId_.end() ? std::to_string(id.value) : entry->second->name },
            { "address", leaves.process.endpoint.text() }, { "from", "another router" } });
}

auto Relay::sweepAvailability(Time now) -> void
{
    for (const auto id : availability_.sweep(now)) {
        const auto entry = byId_.find(id);
        log(LogLevel::Info, "upstream-rested",
            { { "upstream", entry == byId_.end() ? std::to_string(id.value) : entry->second->name } });
    }
    metrics_.setAvailability(availability_.leaving(), availability_.resting(now), availability_.evacuated());
}

} // namespace camphorshunt::router
