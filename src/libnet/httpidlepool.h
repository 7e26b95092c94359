#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "camphorshunt/endpoint.h"

namespace camphorshunt::net {

/**
 * Idle connections kept for reuse, per endpoint. If bytes or a close arrive on an idle connection,
 * it is closed, since such bytes belong to no call. Above the maximum per endpoint the oldest
 * connection is closed.
 */
class HttpIdlePool : public std::enable_shared_from_this<HttpIdlePool> {
public:
    HttpIdlePool(std::size_t maxPerEndpoint, std::chrono::milliseconds idleTimeout);

    /** Returns the most recently used connection that is still open and has no unread bytes. */
    auto tryAcquire(const Endpoint& endpoint) -> std::optional<boost::asio::ip::tcp::socket>;
    auto put(const Endpoint& endpoint, boost::asio::ip::tcp::socket socket) -> void;
    /** Closes all connections; those put back later are closed too. */
    auto clear() -> void;

private:
    struct Idle {
        explicit Idle(boost::asio::ip::tcp::socket&& connected)
            : socket(std::move(connected))
            , expiry(socket.get_executor())
        {
        }

        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer expiry;
    };

    auto watch(const std::string& key, const std::shared_ptr<Idle>& idle) -> void;
    auto remove(const std::string& key, const std::shared_ptr<Idle>& idle) -> void;

    std::map<std::string, std::vector<std::shared_ptr<Idle>>> idle_;
    std::size_t maxPerEndpoint_;
    std::chrono::milliseconds idleTimeout_;
    bool cleared_ = false;
};

} // namespace camphorshunt::net
