#include "faultswitch.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <utility>

#include "jsonfields.h"

namespace camphorshunt::standins {

namespace {

auto findMode(std::string_view name) -> std::optional<FaultMode>
{
    static constexpr auto modes = std::to_array<std::pair<std::string_view, FaultMode>>({
        { "none", FaultMode::None },
        { "refuse", FaultMode::Refuse },
        { "outage", FaultMode::Refuse },
        { "slow", FaultMode::Slow },
        { "silent", FaultMode::Silent },
        { "cut", FaultMode::Cut },
        { "lost-ack", FaultMode::LostAck },
        { "late-ack", FaultMode::LateAck },
        { "crossed", FaultMode::Crossed },
        { "unsigned", FaultMode::Unsigned },
        { "error", FaultMode::Error },
        { "unproved", FaultMode::Unproved },
        { "unframed", FaultMode::Unframed },
        { "torn", FaultMode::Torn },
        { "trickle", FaultMode::Trickle },
        { "endless", FaultMode::Endless },
        { "rest", FaultMode::Rest },
    });
    const auto* const found = std::ranges::find(modes, name, [](const auto& mode) { return mode.first; });
    return found == modes.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

auto FaultSwitch::set(std::string_view json) -> Result<void>
{
    const auto parsed = parseObject(json);
    if (!parsed)
        return failure(Error::Code::Malformed, "faults", "not a JSON object");
    leaving_ = field(*parsed, "leaving", leaving_);
    if (!parsed->contains("mode"))
        return boost::outcome_v2::success();

    const auto name = field(*parsed, "mode", std::string());
    const auto mode = findMode(name);
    if (!mode)
        return failure(Error::Code::Invalid, "mode", "unknown fault '" + name + "'");
    fault_.mode = *mode;
    fault_.delay = std::chrono::milliseconds(field<std::int64_t>(*parsed, "delayMs", 0));
    fault_.afterEvents = field<std::uint64_t>(*parsed, "afterEvents", 0);
    fault_.retryAfter = field(*parsed, "retryAfter", std::string());
    remaining_ = field<std::int64_t>(*parsed, "count", -1);
    affectsLoad_ = field(*parsed, "loadToo", false);
    return boost::outcome_v2::success();
}

auto FaultSwitch::next(RequestKind kind) -> Fault
{
    const auto affectsWorkOnly = fault_.mode == FaultMode::LostAck || fault_.mode == FaultMode::LateAck;
    const auto isExempt
        = (kind == RequestKind::Load && !affectsLoad_) || (kind == RequestKind::Read && affectsWorkOnly);
    if (isExempt || remaining_ == 0)
        return {};
    if (remaining_ > 0)
        --remaining_;
    return fault_;
}

} // namespace camphorshunt::standins
