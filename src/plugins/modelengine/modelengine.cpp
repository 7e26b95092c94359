#include "modelengine.h"

#include "camphorshunt/registry.h"

#include "eventstreamreader.h"

namespace camphorshunt {

namespace {

const auto registered = Registry<UpstreamKindFactory>::instance().add(
    "model-engine", [] { return std::make_unique<ModelEngine>(); });

} // namespace

auto ModelEngine::target(std::string_view operation) const -> std::string
{
    return "/generate/" + std::string(operation);
}

auto ModelEngine::headers(const UpstreamAttempt& attempt) const -> Headers
{
    auto headers = Headers { { "Accept", "text/event-stream" } };
    if (attempt.fencingNumber != 0)
        headers.emplace_back("Fencing-Token", std::to_string(attempt.fencingNumber));
    if (attempt.resumeAfter != 0) {
        headers.emplace_back("Camphorshunt-Resume-Of", attempt.resumeOf);
        headers.emplace_back("Last-Event-ID", std::to_string(attempt.resumeAfter));
    }
    return headers;
}

auto ModelEngine::reader(std::uint32_t resumeAfter) const -> std::unique_ptr<AnswerReader>
{
    return std::make_unique<EventStreamReader>(resumeAfter);
}

} // namespace camphorshunt
