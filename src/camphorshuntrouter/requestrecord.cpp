#include "requestrecord.h"

#include "clock.h"

namespace camphorshunt::router {

auto outcomeName(RequestOutcome outcome) -> std::string_view
{
    switch (outcome) {
    case RequestOutcome::Served:
        return "served";
    case RequestOutcome::Passed:
        return "passed";
    case RequestOutcome::Refused:
        return "refused";
    case RequestOutcome::Failed:
        return "failed";
    case RequestOutcome::Cut:
        return "cut";
    case RequestOutcome::Gone:
        return "gone";
    }
    return "unknown";
}

auto RequestTimes::fields() const -> std::vector<LogField>
{
    const auto since = [this](Time time) {
        return time == Time {} ? std::string("-") : std::to_string(inMilliseconds(time - arrived).count());
    };
    return { { "asked-ms", since(asked) }, { "sent-ms", since(sent) }, { "first-ms", since(firstByte) },
        { "end-ms", since(ended) } };
}

auto placementFields(const std::optional<PlacementInputs>& inputs) -> std::vector<LogField>
{
    if (!inputs)
        return {};
    return { { "placer-wait-ms", std::to_string(inputs->wait.count()) },
        { "placer-kept", std::to_string(inputs->keptTokens) },
        { "placer-waiting", std::to_string(inputs->waiting) } };
}

} // namespace camphorshunt::router
