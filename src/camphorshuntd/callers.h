#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string_view>
#include <unordered_map>

#include "camphorshunt/result.h"

#include "httpserver.h"
#include "messages.h"

namespace camphorshunt {

/** Accepts HTTP requests of callers, owns their exchanges and writes the answers. Callers thread only. */
class Callers {
public:
    struct Rings {
        Ring<Event>& toScheduler;
        Ring<CallersToUpstreams>& toUpstreams;
        Ring<SchedulerToCallers>& fromScheduler;
        Ring<UpstreamsToCallers>& fromUpstreams;
        Ring<CallersToTelemetry>& toTelemetry;
    };

    struct Settings {
        Endpoint listen;
        net::HttpServerLimits limits;
        /** Id of the first request; later ids count up from it. */
        RequestId firstRequest;
    };

    static auto listen(boost::asio::io_context& context, const Settings& settings, const Rings& rings)
        -> Result<std::unique_ptr<Callers>>;

    auto endpoint() const -> Endpoint { return server_->endpoint(); }
    /** Must be called on the callers thread. */
    auto stopAccepting() -> void { server_->stopAccepting(); }
    /** Number of open connections. Must be called on the callers thread. */
    auto connections() const -> std::size_t { return server_->connections(); }

private:
    struct Entry {
        std::shared_ptr<net::HttpExchange> exchange;
        /** The head of a streamed answer has been sent; chunks follow. */
        bool streaming = false;
        /** The complete answer has been passed to the HTTP server. */
        bool answered = false;
    };

    Callers(const Rings& rings, RequestId firstRequest);

    auto onRequest(net::HttpRequest request, const std::shared_ptr<net::HttpExchange>& exchange) -> void;
    auto enqueue(RequestId id, NewBody body, RequestArrived arrived) -> bool;
    auto onCallerGone(RequestId id) -> void;
    auto closeRequest(RequestId id, std::string_view outcome, std::string_view reason) -> void;
    auto reportClosed(RequestId id, std::string_view outcome, std::string_view reason) -> void;

    auto handle(const AnswerCaller& answer) -> void;
    auto handle(const FinishCaller& finish) -> void;
    auto handle(const AnswerHead& head) -> void;
    auto handle(AnswerChunk chunk) -> void;
    auto handle(CompleteAnswer answer) -> void;

    Rings rings_;
    std::uint64_t nextRequest_;
    /** Source of trace ids for requests without a valid `traceparent` header. */
    std::mt19937_64 random_ { std::random_device {}() };
    std::unordered_map<RequestId, Entry> entries_;
    std::unique_ptr<net::HttpServer> server_;
};

} // namespace camphorshunt
