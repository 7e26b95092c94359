#include "servicestandin.h"

#include <boost/json/serialize.hpp>

namespace camphorshunt::standins {

namespace json = boost::json;

auto ServiceStandIn::serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void
{
    if (pathOf(request) == "/load") {
        respondJson(*exchange, statusOk,
            json::object { { "running", running_ }, { "waiting", waiting_.size() },
                { "slots", options().slots }, { "leaving", leaving() } });
        return;
    }
    if (pathOf(request) == "/admin/counts") {
        respondJson(*exchange, statusOk, counts());
        return;
    }
    if (request.method != "POST") {
        respondError(*exchange, statusNotFound, "operations accept only POST");
        return;
    }
    const auto number = ++calls_;
    exchange->onDisconnect([this, number] {
        std::erase_if(waiting_, [number](const Call& call) { return call.number == number; });
    });
    waiting_.push_back({ request, exchange, fault, number });
    startWaiting();
}

auto ServiceStandIn::startWaiting() -> void
{
    while (running_ < options().slots && !waiting_.empty()) {
        auto call = std::move(waiting_.front());
        waiting_.pop_front();
        ++running_;
        ++total_;
        const auto run = ++runs_[std::string(call.request.header("Idempotency-Key"))];
        after(options().callTime, [this, call = std::move(call), run] { finishCall(call, run); });
    }
}

auto ServiceStandIn::finishCall(const Call& call, std::uint64_t run) -> void
{
    --running_;
    const auto body = json::object { { "key", std::string(call.request.header("Idempotency-Key")) },
        { "tag", std::string(call.request.header("Camphorshunt-Request-Tag")) }, { "run", run } };
    if (call.fault.mode == FaultMode::LostAck) {
        call.exchange->abort();
    } else if (call.fault.mode == FaultMode::Cut) {
        // Closes the connection only after the first byte was written, so that the caller can receive it.
        call.exchange->onWritten([exchange = call.exchange](std::size_t) { exchange->abort(); });
        call.exchange->beginStream(statusOk, echoOf(call.request, call.fault));
        call.exchange->write(json::serialize(body).substr(0, 1));
    } else {
        respondJson(*call.exchange, statusOk, body, echoOf(call.request, call.fault));
    }
    startWaiting();
}

auto ServiceStandIn::counts() const -> json::value
{
    auto keys = json::object();
    for (const auto& [key, count] : runs_)
        keys[key] = count;
    return json::object { { "total", total_ }, { "keys", std::move(keys) } };
}

} // namespace camphorshunt::standins
