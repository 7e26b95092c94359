#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <prometheus/collectable.h>
#include <prometheus/registry.h>

#include "camphorshunt/result.h"

#include "httpserver.h"
#include "messages.h"
#include "requestmetrics.h"
#include "requestspans.h"

namespace camphorshunt {

/** Serves the administration port and collects metrics and spans, on the telemetry thread. */
class Telemetry {
public:
    static auto listen(boost::asio::io_context& context, const Endpoint& endpoint,
        Ring<StatusRequest>& toScheduler, Ring<SchedulerToTelemetry>& fromScheduler,
        Ring<CallersToTelemetry>& fromCallers) -> Result<std::unique_ptr<Telemetry>>;

    auto endpoint() const -> Endpoint { return server_->endpoint(); }
    /** Adds metrics that are collected on each request. Must be called before the thread starts. */
    auto add(std::unique_ptr<prometheus::Collectable> metrics) -> void
    {
        collectables_.push_back(std::move(metrics));
    }

    /** Enables tracing of requests. Must be called before the thread starts. */
    auto trace(std::unique_ptr<RequestSpans> spans) -> void { spans_ = std::move(spans); }

private:
    explicit Telemetry(Ring<StatusRequest>& toScheduler);

    auto onRequest(const net::HttpRequest& request, std::shared_ptr<net::HttpExchange> exchange) -> void;
    /** Receives the core's status. Not called if the ring was full; the answer is 503 then. */
    using Answer = std::function<void(net::HttpExchange& exchange, std::string status)>;
    auto requestStatus(std::shared_ptr<net::HttpExchange> exchange, Answer answer) -> void;
    auto respondMetrics(net::HttpExchange& exchange, std::string_view status) -> void;
    auto logRefusal(const RequestClosed& closed) const -> void;
    auto metrics() const -> std::string;

    auto handle(StatusAnswer answer) -> void;
    auto handle(const SetReady& set) -> void { ready_ = set.ready; }
    template <typename Item> auto handle(const Item& item) -> void
    {
        if constexpr (std::same_as<Item, RequestClosed>)
            logRefusal(item);
        requestMetrics_.handle(item);
        if (spans_)
            spans_->handle(item);
    }

    struct Waiting {
        std::shared_ptr<net::HttpExchange> exchange;
        Answer answer;
    };

    Ring<StatusRequest>& toScheduler_;
    bool ready_ = false;
    std::uint64_t nextStatus_ {};
    std::unordered_map<std::uint64_t, Waiting> waiting_;
    prometheus::Registry registry_;
    std::vector<std::unique_ptr<prometheus::Collectable>> collectables_;
    RequestMetrics requestMetrics_ { registry_ };
    std::unique_ptr<RequestSpans> spans_;
    std::unique_ptr<net::HttpServer> server_;
};

} // namespace camphorshunt
