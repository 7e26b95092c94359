#include "telemetry.h"

#include <algorithm>
#include <array>
#include <iterator>

#include <prometheus/text_serializer.h>

#include "callerrequest.h"
#include "log.h"

namespace camphorshunt {

namespace {

constexpr auto adminConnections = std::size_t { 64 };

auto respondText(net::HttpExchange& exchange, std::uint16_t status, std::string body) -> void
{
    exchange.respond(status, { { "Content-Type", "text/plain; charset=utf-8" } }, std::move(body));
}

} // namespace

auto Telemetry::listen(boost::asio::io_context& context, const Endpoint& endpoint,
    Ring<StatusRequest>& toScheduler, Ring<SchedulerToTelemetry>& fromScheduler,
    Ring<CallersToTelemetry>& fromCallers) -> Result<std::unique_ptr<Telemetry>>
{
    auto telemetry = std::unique_ptr<Telemetry>(new Telemetry(toScheduler));
    auto* const self = telemetry.get();
    auto limits = net::HttpServerLimits {};
    limits.connections = adminConnections;
    auto server = net::HttpServer::listen(context, endpoint, limits,
        [self](const net::HttpRequest& request, std::shared_ptr<net::HttpExchange> exchange) {
            self->onRequest(request, std::move(exchange));
        });
    if (server.has_error())
        return server.error();
    telemetry->server_ = std::move(server.value());
    fromScheduler.onItem([self](SchedulerToTelemetry message) {
        std::visit([self](auto& item) { self->handle(std::move(item)); }, message);
    });
    fromCallers.onItem([self](CallersToTelemetry message) {
        std::visit([self](const auto& item) { self->handle(item); }, message);
    });
    return telemetry;
}

Telemetry::Telemetry(Ring<StatusRequest>& toScheduler)
    : toScheduler_(toScheduler)
{
}

auto Telemetry::onRequest(const net::HttpRequest& request, std::shared_ptr<net::HttpExchange> exchange)
    -> void
{
    if (request.method != "GET")
        respondText(*exchange, 405, "allowed is GET\n");
    else if (request.target == "/live")
        respondText(*exchange, 200, "live\n");
    else if (request.target == "/ready")
        respondText(*exchange, ready_ ? 200 : 503, ready_ ? "ready\n" : "not ready\n");
    else if (request.target == "/metrics")
        requestStatus(std::move(exchange), [this](net::HttpExchange& requester, const std::string& status) {
            respondMetrics(requester, status);
        });
    else if (request.target == "/status")
        requestStatus(std::move(exchange), [](net::HttpExchange& requester, std::string status) {
            requester.respond(200, { { "Content-Type", "application/json" } }, std::move(status));
        });
    else
        respondText(*exchange, 404, "known are /live, /ready, /metrics and /status\n");
}

auto Telemetry::requestStatus(std::shared_ptr<net::HttpExchange> exchange, Answer answer) -> void
{
    const auto id = nextStatus_++;
    if (!toScheduler_.tryPush({ id })) {
        respondText(*exchange, 503, "busy\n");
        return;
    }
    exchange->onDisconnect([this, id] { waiting_.erase(id); });
    waiting_.emplace(id, Waiting { std::move(exchange), std::move(answer) });
}

auto Telemetry::respondMetrics(net::HttpExchange& exchange, std::string_view status) -> void
{
    requestMetrics_.setStatus(status);
    exchange.respond(200, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics());
}

auto Telemetry::logRefusal(const RequestClosed& closed) const -> void
{
    if (closed.outcome != outcomeName(RequestOutcome::NotRun))
        return;
    const auto fields = std::array { LogField { "request", requestIdText(closed.request) },
        LogField { "service", requestMetrics_.serviceOf(closed.request) },
        LogField { "reason", closed.reason } };
    writeLog(LogLevel::Info, "refused", fields);
}

auto Telemetry::metrics() const -> std::string
{
    auto families = registry_.Collect();
    for (const auto& collectable : collectables_) {
        auto further = collectable->Collect();
        std::ranges::move(further, std::back_inserter(families));
    }
    return prometheus::TextSerializer().Serialize(families);
}

auto Telemetry::handle(StatusAnswer answer) -> void
{
    const auto found = waiting_.find(answer.id);
    if (found == waiting_.end())
        return;
    const auto waiting = std::move(found->second);
    waiting_.erase(found);
    waiting.answer(*waiting.exchange, std::move(answer.text));
}

} // namespace camphorshunt
