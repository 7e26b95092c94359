#include "requestforms.h"

namespace camphorshunt::router {

auto makePlacementRequest(const RoutedRequest& routed) -> PeerPlacementRequest
{
    auto place = PeerPlacementRequest {};
    auto& request = place.request;
    request.service = routed.service;
    request.priority = routed.route.priority;
    if (routed.organisation != nullptr) {
        request.organisation = routed.organisation->id;
        request.priority = routed.organisation->priority.value_or(request.priority);
    }
    if (routed.caller.prompt)
        request.prompt = *routed.caller.prompt;
    request.repeatable = routed.route.repeatable();
    return place;
}

auto serializeForUpstream(const RoutedRequest& routed, const UpstreamEntry& upstream,
    const UpstreamEntry* copyFrom, std::chrono::milliseconds timeLeft, std::string_view resumeAfter)
    -> std::string
{
    const auto& message = routed.message;
    auto details = platform::EngineRequest {};
    details.timeLeft = timeLeft;
    details.upstream = upstream.name;
    if (routed.organisation != nullptr)
        details.organisation = routed.organisation->name;
    if (copyFrom != nullptr)
        details.copyFrom = copyFrom->endpoint.text();
    details.resumeAfter = resumeAfter;
    if (!message.body().empty() || message.has_content_length() || message.chunked())
        details.bodyBytes = message.body().size();
    return platform::writeEngineHead(message.base(), details) + message.body();
}

} // namespace camphorshunt::router
