#include "telemetryserver.h"

#include <prometheus/text_serializer.h>

namespace camphorshunt::router {

namespace {

constexpr auto logInterval = std::chrono::milliseconds(100);
constexpr auto connectionLimit = std::size_t { 32 };
constexpr auto ok = std::uint16_t { 200 };
constexpr auto unavailable = std::uint16_t { 503 };

} // namespace

TelemetryServer::TelemetryServer(boost::asio::io_context& context, RouterLog& log)
    : timer_(context)
    , log_(log)
{
}

auto TelemetryServer::listen(boost::asio::io_context& context, const Endpoints& endpoints,
    const SharedState& state, prometheus::Registry& registry, RouterLog& log)
    -> Result<std::unique_ptr<TelemetryServer>>
{
    auto server = std::unique_ptr<TelemetryServer>(new TelemetryServer(context, log));
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
        [&registry](const net::HttpRequest&, const std::shared_ptr<net::HttpExchange>& exchange) {
            exchange->respond(ok, { { "Content-Type", "text/plain; version=0.0.4" } },
                prometheus::TextSerializer().Serialize(registry.Collect()));
        });
    if (!metrics)
        return metrics.error();
    server->metrics_ = std::move(metrics.value());
    server->writeLog();
    return Result<std::unique_ptr<TelemetryServer>>(std::move(server));
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
