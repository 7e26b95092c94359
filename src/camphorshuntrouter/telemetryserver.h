#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <prometheus/registry.h>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/result.h"

#include "httpserver.h"
#include "routerlog.h"
#include "sharedstate.h"

namespace camphorshunt::router {

/** Writes the log, and serves readiness and metrics over HTTP. Used on the telemetry thread. */
class TelemetryServer {
public:
    struct Endpoints {
        Endpoint readiness;
        Endpoint metrics;
    };

    static auto listen(boost::asio::io_context& context, const Endpoints& endpoints, const SharedState& state,
        prometheus::Registry& registry, RouterLog& log) -> Result<std::unique_ptr<TelemetryServer>>;

private:
    TelemetryServer(boost::asio::io_context& context, RouterLog& log);

    auto writeLog() -> void;

    boost::asio::steady_timer timer_;
    RouterLog& log_;
    std::unique_ptr<net::HttpServer> readiness_;
    std::unique_ptr<net::HttpServer> metrics_;
};

} // namespace camphorshunt::router
