#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <prometheus/collectable.h>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include "camphorshunt/result.h"

#include "httpserver.h"
#include "messages.h"

namespace camphorshunt {

/** The telemetry thread's duty: the administration port and the metrics. */
class Telemetry {
public:
    static auto listen(boost::asio::io_context& context, const Endpoint& endpoint,
        Ring<StatusRequest>& toScheduler, Ring<SchedulerToTelemetry>& fromScheduler)
        -> Result<std::unique_ptr<Telemetry>>;

    auto endpoint() const -> Endpoint { return server_->endpoint(); }
    /** Adds metrics that are read when they are asked for. Before the thread starts. */
    auto add(std::unique_ptr<prometheus::Collectable> metrics) -> void
    {
        more_.push_back(std::move(metrics));
    }

private:
    explicit Telemetry(Ring<StatusRequest>& toScheduler);

    auto take(const net::HttpRequest& request, std::shared_ptr<net::HttpExchange> exchange) -> void;
    auto askStatus(std::shared_ptr<net::HttpExchange> exchange) -> void;
    auto metrics() const -> std::string;

    auto handle(StatusAnswer answer) -> void;
    auto handle(const SetReady& set) -> void { ready_ = set.ready; }
    auto handle(const NoteStep& step) -> void;

    Ring<StatusRequest>& toScheduler_;
    bool ready_ = false;
    std::uint64_t nextStatus_ {};
    std::unordered_map<std::uint64_t, std::shared_ptr<net::HttpExchange>> waiting_;
    prometheus::Registry registry_;
    std::vector<std::unique_ptr<prometheus::Collectable>> more_;
    prometheus::Family<prometheus::Counter>& steps_;
    prometheus::Family<prometheus::Counter>& outcomes_;
    std::unique_ptr<net::HttpServer> server_;
};

} // namespace camphorshunt
