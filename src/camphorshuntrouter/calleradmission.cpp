#include "calleradmission.h"

#include <algorithm>

namespace camphorshunt::router {

namespace {

/** Retry time for a caller of a router that has no configuration yet. */
constexpr auto startRetry = std::chrono::milliseconds(300);
/** Retry time for a caller of a router that shuts down: another router accepts it immediately. */
constexpr auto drainRetry = std::chrono::milliseconds(50);

/** Part of a shutdown in which requests are accepted however long they may take. */
constexpr auto earlyShutdown = 0.3;
/** Time from a request's timeout until its answer has been sent. */
constexpr auto answerTime = Duration(std::chrono::milliseconds(200));

auto mayEndBeforeProcess(
    const Route& route, const platform::CallerRequest& request, const ShutdownProgress& shutdown) -> bool
{
    if (shutdown.passed < scaled(shutdown.passed + shutdown.left, earlyShutdown))
        return true;
    const auto timeout = std::min<Duration>(request.timeout.value_or(route.timeout), route.timeout);
    return route.kind != RequestKind::Stream && timeout + answerTime <= shutdown.left;
}

auto refused(unsigned status, std::string_view reason,
    std::optional<std::chrono::milliseconds> retryAfter = std::nullopt) -> CallerAdmission
{
    return { nullptr, nullptr, CallerAdmission::Refusal { status, reason, retryAfter } };
}

} // namespace

auto CallerAdmission::decide(const RouteTable* table, const platform::CallerRequest& request,
    const std::optional<ShutdownProgress>& shutdown) -> CallerAdmission
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
    if (shutdown && !mayEndBeforeProcess(*route, request, *shutdown))
        admission.refusal = Refusal { 503, "the router may shut down before the answer ends", drainRetry };
    return admission;
}

} // namespace camphorshunt::router
