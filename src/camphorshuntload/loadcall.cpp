#include "loadcall.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorshunt::load {

namespace {

/** Approximate number of body bytes per prompt token. */
constexpr auto bytesPerToken = std::uint64_t { 4 };
constexpr auto statusOk = 200;
constexpr auto maxFirstByteWait = std::chrono::milliseconds(120'000);
constexpr auto maxGap = std::chrono::milliseconds(20'000);

auto hint(std::uint64_t tokens, double factor) -> std::string
{
    return std::to_string(std::max<std::int64_t>(1, std::llround(static_cast<double>(tokens) * factor)));
}

auto makeRequest(const Plan& plan, const PlannedOrganisation& organisation, std::uint64_t promptTokens,
    std::uint64_t outputTokens) -> net::HttpRequest
{
    auto body = R"({"outputTokens":)" + std::to_string(outputTokens) + R"(,"prompt":")";
    const auto bytes = promptTokens * bytesPerToken;
    if (body.size() + 2 < bytes)
        body.append(bytes - body.size() - 2, 'p');
    body += "\"}";
    auto request = net::HttpRequest { "POST", "/v1/" + plan.service + "/" + organisation.operation,
        { { "Authorization", "Bearer " + organisation.key }, { "Content-Type", "application/json" } },
        std::move(body) };
    if (organisation.hintFactor > 0) {
        request.headers.push_back(
            { "Camphorshunt-Prompt-Tokens", hint(promptTokens, organisation.hintFactor) });
        request.headers.push_back(
            { "Camphorshunt-Output-Tokens", hint(outputTokens, organisation.hintFactor) });
    }
    if (organisation.deadline.count() > 0)
        request.headers.push_back(
            { "Camphorshunt-Deadline-Ms", std::to_string(organisation.deadline.count()) });
    return request;
}

} // namespace

LoadCall::LoadCall(Measurements& measurements, const Plan& plan, std::size_t organisation)
    : measurements_(measurements)
    , plan_(plan)
    , organisation_(organisation)
{
}

auto LoadCall::start(net::HttpClient& client, const PlannedDaemon& daemon, std::uint64_t promptTokens,
    std::uint64_t outputTokens, std::function<void(End)> onEnd) -> void
{
    onEnd_ = std::move(onEnd);
    sentAt_ = Clock::now();
    promptUnits_ = plan_.promptWeight * static_cast<double>(promptTokens);
    measurements_.recordSent(organisation_);

    auto spec = net::HttpCallSpec {};
    spec.endpoint = daemon.callers;
    spec.request = makeRequest(plan_, plan_.organisations[organisation_], promptTokens, outputTokens);
    spec.firstByteTimeout = maxFirstByteWait;
    spec.gapTimeout = maxGap;
    auto handlers = net::HttpCallHandlers {};
    const auto self = shared_from_this();
    handlers.onHead = [self](const net::HttpResponseHead& head) { self->status_ = head.status; };
    handlers.onBody = [self](std::string_view bytes) { self->handleBody(bytes); };
    handlers.onEnd = [self](net::HttpCallEnd how) { self->finish(how); };
    call_ = client.start(std::move(spec), std::move(handlers));
}

/** Counts tokens: each is one event, and the only line of an event that begins with `i` is that of its ID. */
auto LoadCall::handleBody(std::string_view bytes) -> void
{
    if (status_ != statusOk)
        return;
    auto count = std::uint64_t {};
    for (const auto byte : bytes) {
        count += lastByte_ == '\n' && byte == 'i' ? 1 : 0;
        lastByte_ = byte;
    }
    if (tokens_ == 0 && count > 0) {
        const auto waited = std::chrono::duration<double>(Clock::now() - sentAt_).count();
        measurements_.recordFirstToken(organisation_, waited, promptUnits_);
        measurements_.recordWaitEnd(organisation_);
    }
    tokens_ += count;
    measurements_.recordTokens(organisation_, count);
}

auto LoadCall::finish(net::HttpCallEnd how) -> void
{
    using Counts = Measurements::Counts;
    if (tokens_ == 0)
        measurements_.recordWaitEnd(organisation_);
    const auto complete = how == net::HttpCallEnd::Complete;
    const auto done = complete && status_ == statusOk;
    const auto counter = done ? &Counts::done : complete ? &Counts::refused : &Counts::failed;
    measurements_.recordEnd(organisation_, counter, serviceUnits());
    call_.reset();
    std::exchange(onEnd_, {})(done ? End::Done : complete ? End::Refused : End::Failed);
}

auto LoadCall::serviceUnits() const -> double
{
    return tokens_ == 0 ? 0.0 : promptUnits_ + static_cast<double>(tokens_);
}

} // namespace camphorshunt::load
