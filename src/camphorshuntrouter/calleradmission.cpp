#include "calleradmission.h"

namespace camphorshunt::router {

namespace {

/** Retry time for a caller of a router that has no configuration yet. */
constexpr auto startRetry = std::chrono::milliseconds(300);

auto refused(unsigned status, std::string_view reason,
    std::optional<std::chrono::milliseconds> retryAfter = std::nullopt) -> CallerAdmission
{
    return { nullptr, nullptr, CallerAdmission::Refusal { status, reason, retryAfter } };
}

} // namespace

auto CallerAdmission::decide(const RouteTable* table, const platform::CallerRequest& request)
    -> CallerAdmission
{
    if (table == nullptr)
        return refused(503, "no configuration has been read yet", startRetry);
    if (request.attempt.empty())
        return refused(400, "the request has no id");
    const auto* const route = table->find(request.host, request.target);
    if (route == nullptr)
        return refused(404, "no route leads there");
    if (!table->requiresKeys() || route->open)
        return { route, nullptr, std::nullopt };
    const auto* const organisation = table->holderOf(request.apiKey);
    if (organisation != nullptr)
        return { route, organisation, std::nullopt };
    auto unknownKey = refused(401, "the key is unknown");
    unknownKey.route = route;
    return unknownKey;
}

} // namespace camphorshunt::router
