#include "telemetryserver.h"

#include <utility>

#include <prometheus/text_serializer.h>

#include "clock.h"

namespace camphorshunt::router {

namespace {

constexpr auto logInterval = std::chrono::milliseconds(100);
constexpr auto connectionLimit = std::size_t { 32 };
constexpr auto ok = std::uint16_t { 200 };
constexpr auto unavailable = std::uint16_t { 503 };

} // namespace

TelemetryServer::TelemetryServer(
    boost::asio::io_context& context, prometheus::Registry& registry, RouterLog& log)
    : timer_(context)
    , registry_(registry)
    , log_(log)
{
}

auto TelemetryServer::listen(boost::asio::io_context& context, const Endpoints& endpoints,
    const SharedState& state, prometheus::Registry& registry, RouterLog& log)
    -> Result<std::unique_ptr<TelemetryServer>>
{
    auto server = std::unique_ptr<TelemetryServer>(new TelemetryServer(context, registry, log));
    auto limits = net::HttpServerLimits {};
    limits.connections = connectionLimit;
    auto readiness = net::HttpServer::listen(context, endpoints.readiness, limits,
        [&state](const net::HttpRequest&, const std::shared_ptr<net::HttpExchange>& exchange) {
            const auto ready = state.acceptsCallers();
            exchange->respond(ready ? ok : unavailable, {}, ready ? "ready\n" : "not ready\n");
        });
    if (!readiness)
        return readiness.error();
    server->readiness_ = std::move(readiness.value());
    auto metrics = net::HttpServer::listen(context, endpoints.metrics, limits,
        [telemetry = server.get()](
            const net::HttpRequest& request, const std::shared_ptr<net::HttpExchange>& exchange) {
            telemetry->answerMetrics(request, *exchange);
        });
    if (!metrics)
        return metrics.error();
    server->metrics_ = std::move(metrics.value());
    server->writeLog();
    return Result<std::unique_ptr<TelemetryServer>>(std::move(server));
}

auto TelemetryServer::setFleetReport(FleetReport report) -> void
{
    fleetReport_ = std::move(report);
    fleetReportedAt_ = steadyNow();
}

auto TelemetryServer::answerMetrics(const net::HttpRequest& request, net::HttpExchange& exchange) -> void
{
    if (request.target == "/fleet") {
        answerFleet(exchange);
        return;
    }
    exchange.respond(ok, { { "Content-Type", "text/plain; version=0.0.4" } },
        prometheus::TextSerializer().Serialize(registry_.Collect()));
}

auto TelemetryServer::answerFleet(net::HttpExchange& exchange) -> void
{
    if (!fleetReport_) {
        exchange.respond(unavailable, {}, "the router has just started\n");
        return;
    }
    fleetReport_->age = inMilliseconds(steadyNow() - fleetReportedAt_);
    exchange.respond(ok, { { "Content-Type", "application/json" } }, fleetReport_->json() + "\n");
}

auto TelemetryServer::writeLog() -> void
{
    log_.drain();
    timer_.expires_after(logInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            writeLog();
    });
}

} // namespace camphorshunt::router
