#include "requestrecord.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

#include "clock.h"

namespace camphorshunt::router {

namespace {

/** Parts of a prompt that a line names at most. */
constexpr auto maxPartsLogged = std::size_t { 8 };

} // namespace

auto partName(std::uint64_t part) -> std::string
{
    constexpr auto hexadecimal = 16;
    auto digits = std::array<char, 16> {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), part, hexadecimal).ptr;
    return { digits.data(), end };
}

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
    return { { "asked-ms", since(placementStarted) }, { "sent-ms", since(sent) },
        { "first-ms", since(firstByte) }, { "end-ms", since(ended) } };
}

auto FailedAttempt::fields() const -> std::vector<LogField>
{
    auto fields
        = std::vector<LogField> { { "id", std::string(attempt) }, { "upstream", std::string(upstream) },
              { "end", std::string(placementEndName(end)) }, { "reason", std::string(reason) },
              { "may-have-run", mayHaveRun ? "true" : "false" }, { "sends", std::to_string(sends) },
              { "again", again ? "true" : "false" }, { "begun", begun ? "true" : "false" } };
    if (!fault.empty())
        fields.push_back({ "fault", std::string(fault) });
    const auto shared = sharedParts(parts);
    if (shared.empty())
        return fields;
    auto names = std::string {};
    for (const auto& part : shared.first(std::min(shared.size(), maxPartsLogged)))
        names += (names.empty() ? "" : ",") + partName(part.id);
    fields.push_back({ "parts", std::move(names) });
    return fields;
}

namespace {

auto placementFields(const std::optional<PlacementInputs>& inputs) -> std::vector<LogField>
{
    if (!inputs)
        return {};
    return { { "placer-wait-ms", std::to_string(inputs->wait.count()) },
        { "placer-kept", std::to_string(inputs->cachedTokens) },
        { "placer-waiting", std::to_string(inputs->waiting) },
        { "placer", std::to_string(inputs->placer.value) } };
}

} // namespace

auto EndedRequest::answerFields() const -> std::vector<LogField>
{
    auto fields = std::vector<LogField> {};
    if (answerEnd)
        fields.push_back({ "answer-end", std::string(answerEndName(*answerEnd)) });
    if (stream) {
        fields.push_back({ "events", std::to_string(stream->events) });
        fields.push_back({ "partial-event", stream->endsInsideEvent ? "true" : "false" });
    }
    return fields;
}

auto EndedRequest::fields(const RequestTimes& times, const std::optional<PlacementInputs>& placement) const
    -> std::vector<LogField>
{
    auto fields = std::vector<LogField> { { "id", std::string(attempt) },
        { "outcome", std::string(outcomeName(outcome)) }, { "status", std::to_string(status) },
        { "route", std::string(route) }, { "organisation", std::string(organisation) },
        { "upstream", std::string(upstream) }, { "sends", std::to_string(sends) },
        { "configuration", std::to_string(configuration) } };
    std::ranges::move(times.fields(), std::back_inserter(fields));
    if (directoryAge)
        fields.push_back({ "directory-age-ms", std::to_string(inMilliseconds(*directoryAge).count()) });
    if (longestSilence)
        fields.push_back({ "silence-ms", std::to_string(inMilliseconds(*longestSilence).count()) });
    std::ranges::move(answerFields(), std::back_inserter(fields));
    std::ranges::move(placementFields(placement), std::back_inserter(fields));
    if (!reason.empty())
        fields.push_back({ "reason", std::string(reason) });
    return fields;
}

} // namespace camphorshunt::router
