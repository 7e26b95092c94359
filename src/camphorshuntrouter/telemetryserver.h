#pragma once

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <prometheus/registry.h>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/fleetreport.h"
#include "camphorshunt/result.h"
#include "camphorshunt/time.h"

#include "httpserver.h"
#include "routerlog.h"
#include "sharedstate.h"

namespace camphorshunt::router {

/** Writes the log, and serves readiness, metrics and the view of the fleet over HTTP. Used on the telemetry
 * thread. */
class TelemetryServer {
public:
    struct Endpoints {
        Endpoint readiness;
        Endpoint metrics;
    };

    static auto listen(boost::asio::io_context& context, const Endpoints& endpoints, const SharedState& state,
        prometheus::Registry& registry, RouterLog& log) -> Result<std::unique_ptr<TelemetryServer>>;

    /** Sets the answer to `/fleet`. */
    auto setFleetReport(FleetReport report) -> void;

private:
    TelemetryServer(boost::asio::io_context& context, prometheus::Registry& registry, RouterLog& log);

    auto writeLog() -> void;
    auto answerMetrics(const net::HttpRequest& request, net::HttpExchange& exchange) -> void;
    auto answerFleet(net::HttpExchange& exchange) -> void;

    boost::asio::steady_timer timer_;
    prometheus::Registry& registry_;
    RouterLog& log_;
    std::optional<FleetReport> fleetReport_;
    Time fleetReportedAt_ {};
    std::unique_ptr<net::HttpServer> readiness_;
    std::unique_ptr<net::HttpServer> metrics_;
};

} // namespace camphorshunt::router
