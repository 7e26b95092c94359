#include "calleradmission.h"

namespace camphorshunt::router {

namespace {

/** Retry time for a caller of a router that has no configuration yet. */
constexpr auto startRetry = std::chrono::milliseconds(300);
/** Retry time for a caller of a router that shuts down: another router accepts it immediately. */
constexpr auto drainRetry = std::chrono::milliseconds(50);

auto refused(unsigned status, std::string_view reason,
    std::optional<std::chrono::milliseconds> retryAfter = std::nullopt) -> CallerAdmission
{
    return { nullptr, nullptr, CallerAdmission::Refusal { status, reason, retryAfter } };
}

} // namespace

auto CallerAdmission::decide(
    const RouteTable* table, const platform::CallerRequest& request, bool acceptsStreams) -> CallerAdmission
{
    if (table == nullptr)
        return refused(503, "no configuration has been read yet", startRetry);
    if (request.attempt.empty())
        return refused(400, "the request has no id");
    const auto* const route = table->find(request.host, request.target);
    if (route == nullptr)
        return refused(404, "no route leads there");
    auto admission = CallerAdmission { route, nullptr, std::nullopt };
    if (table->requiresKeys() && !route->open) {
        admission.organisation = table->holderOf(request.apiKey);
        if (admission.organisation == nullptr) {
            admission.refusal = Refusal { 401, "the key is unknown", std::nullopt };
            return admission;
        }
    }
    if (route->kind == RequestKind::Stream && !acceptsStreams)
        admission.refusal = Refusal { 503, "the router shuts down before the stream would end", drainRetry };
    return admission;
}

} // namespace camphorshunt::router
