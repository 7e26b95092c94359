#pragma once

#include <memory>
#include <set>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include "camphorshunt/result.h"

#include "faultswitch.h"
#include "httpserver.h"
#include "standinoptions.h"

namespace camphorshunt::standins {

using Request = net::HttpRequest;
using Exchange = std::shared_ptr<net::HttpExchange>;

inline constexpr auto statusOk = std::uint16_t { 200 };
inline constexpr auto statusBadRequest = std::uint16_t { 400 };
inline constexpr auto statusNotFound = std::uint16_t { 404 };
inline constexpr auto statusConflict = std::uint16_t { 409 };
inline constexpr auto statusTooMany = std::uint16_t { 429 };
inline constexpr auto statusUnavailable = std::uint16_t { 503 };
inline constexpr std::string_view attemptHeader = "Camphorshunt-Attempt-Id";

/**
 * Base of all test double processes: the HTTP server, the fault switch at `POST /admin/faults`, and the
 * faults that are independent of the role (refuse, slow, silent from the start, and crossed in `echoOf`).
 * Everything runs on the thread of the given context.
 */
class StandIn {
public:
    StandIn(boost::asio::io_context& context, const StandInOptions& options);
    virtual ~StandIn() = default;
    StandIn(const StandIn&) = delete;
    auto operator=(const StandIn&) -> StandIn& = delete;

    auto endpoint() const -> Endpoint { return server_->endpoint(); }

protected:
    auto listen() -> Result<void>;
    virtual auto kindOf(const Request& request) const -> RequestKind;
    /** Called for each request but those to `/admin/`, before a fault applies. */
    virtual auto recordArrival(const Request&, const Exchange&) -> void { }
    /** Answers that a request was refused before it ran. */
    virtual auto refuse(const Exchange& exchange) -> void;
    /** Serves a request other than `/admin/faults`; the role itself must apply `fault`. */
    virtual auto serve(const Request& request, const Exchange& exchange, const Fault& fault) -> void = 0;

    auto context() -> boost::asio::io_context& { return context_; }
    auto options() const -> const StandInOptions& { return options_; }
    auto leaving() const -> bool { return faults_.leaving(); }
    /** Calls `callback` once after `delay`, unless the stand-in was destroyed by then. */
    auto after(Milliseconds delay, std::function<void()> callback) -> void;
    /** Never answers, and keeps the connection open until the caller disconnects. */
    auto hold(const Exchange& exchange) -> void;

private:
    auto receive(const Request& request, const Exchange& exchange) -> void;

    boost::asio::io_context& context_;
    StandInOptions options_;
    FaultSwitch faults_;
    std::set<Exchange> held_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<net::HttpServer> server_;
};

template <typename Role> class StandInRole : public StandIn {
public:
    using StandIn::StandIn;

    static auto start(boost::asio::io_context& context, const StandInOptions& options)
        -> Result<std::unique_ptr<Role>>
    {
        auto role = std::make_unique<Role>(context, options);
        if (const auto listening = static_cast<StandInRole&>(*role).listen(); !listening)
            return listening.error();
        return role;
    }
};

auto respondJson(net::HttpExchange& exchange, std::uint16_t status, const boost::json::value& body,
    net::HttpHeaders headers = {}) -> void;
auto respondError(net::HttpExchange& exchange, std::uint16_t status, std::string_view reason) -> void;
/** The header that echoes the attempt id; a wrong id if the fault is Crossed. */
auto echoOf(const Request& request, const Fault& fault) -> net::HttpHeaders;
/** The path, without the query. */
auto pathOf(const Request& request) -> std::string_view;

} // namespace camphorshunt::standins
