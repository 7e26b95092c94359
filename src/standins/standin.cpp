#include "standin.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>

namespace camphorshunt::standins {

namespace json = boost::json;

namespace {

constexpr auto maxHeaderBytes = std::size_t { 64 } * 1024;
constexpr auto maxBodyBytes = std::size_t { 16 } * 1024 * 1024;
constexpr auto maxConnections = std::size_t { 8192 };

} // namespace

StandIn::StandIn(boost::asio::io_context& context, const StandInOptions& options)
    : context_(context)
    , options_(options)
{
}

auto StandIn::listen() -> Result<void>
{
    auto limits = net::HttpServerLimits {};
    limits.headerBytes = maxHeaderBytes;
    limits.bodyBytes = maxBodyBytes;
    limits.connections = maxConnections;
    auto server = net::HttpServer::listen(context_, options_.listen, limits,
        [this](const Request& request, const Exchange& exchange) { receive(request, exchange); });
    if (!server)
        return server.error();
    server_ = std::move(server.value());
    return boost::outcome_v2::success();
}

auto StandIn::kindOf(const Request& request) const -> RequestKind
{
    return pathOf(request) == "/load" ? RequestKind::Load : RequestKind::Work;
}

auto StandIn::after(Milliseconds delay, std::function<void()> callback) -> void
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
    timer->async_wait([timer, weak = std::weak_ptr(alive_), callback = std::move(callback)](
                          const boost::system::error_code& error) {
        if (!error && !weak.expired())
            callback();
    });
}

auto StandIn::hold(const Exchange& exchange) -> void
{
    held_.insert(exchange);
    exchange->onDisconnect([this, weak = std::weak_ptr(exchange)] { held_.erase(weak.lock()); });
}

auto StandIn::refuse(const Exchange& exchange) -> void
{
    respondError(*exchange, statusUnavailable, "refused");
}

auto StandIn::receive(const Request& request, const Exchange& exchange) -> void
{
    if (pathOf(request) == "/admin/faults") {
        const auto set = faults_.set(request.body);
        if (set)
            respondJson(*exchange, statusOk, json::object());
        else
            respondError(*exchange, statusBadRequest, set.error().text());
        return;
    }
    const auto isAdmin = pathOf(request).starts_with("/admin/");
    if (!isAdmin)
        recordArrival(request, exchange);
    const auto fault = isAdmin ? Fault {} : faults_.next(kindOf(request));
    if (fault.mode == FaultMode::Refuse)
        refuse(exchange);
    else if (fault.mode == FaultMode::Silent && fault.afterEvents == 0)
        hold(exchange);
    else if (fault.mode == FaultMode::Slow)
        after(fault.delay, [this, request, exchange] { serve(request, exchange, {}); });
    else
        serve(request, exchange, fault);
}

auto respondJson(net::HttpExchange& exchange, std::uint16_t status, const json::value& body,
    net::HttpHeaders headers) -> void
{
    headers.push_back({ "Content-Type", "application/json" });
    exchange.respond(status, std::move(headers), json::serialize(body));
}

auto respondError(net::HttpExchange& exchange, std::uint16_t status, std::string_view reason) -> void
{
    respondJson(exchange, status, json::object { { "error", std::string(reason) } });
}

auto echoOf(const Request& request, const Fault& fault) -> net::HttpHeaders
{
    const auto attempt = std::string(request.header(attemptHeader));
    return { { std::string(attemptHeader),
        fault.mode == FaultMode::Crossed ? "crossed" + attempt : attempt } };
}

auto pathOf(const Request& request) -> std::string_view
{
    const auto target = std::string_view(request.target);
    return target.substr(0, target.find('?'));
}

} // namespace camphorshunt::standins
