#include "httpidlepool.h"

#include <algorithm>
#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace camphorshunt::net {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

/** False after a close or unexpected bytes, which the pending wait may not have reported yet. */
auto isReusable(Tcp::socket& socket) -> bool
{
    auto error = ErrorCode {};
    auto byte = std::array<char, 1> {};
    socket.non_blocking(true, error);
    if (error)
        return false;
    socket.receive(asio::buffer(byte), Tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

HttpIdlePool::HttpIdlePool(std::size_t maxPerEndpoint, std::chrono::milliseconds idleTimeout)
    : maxPerEndpoint_(maxPerEndpoint)
    , idleTimeout_(idleTimeout)
{
}

auto HttpIdlePool::tryAcquire(const Endpoint& endpoint) -> std::optional<Tcp::socket>
{
    const auto found = idle_.find(endpoint.text());
    if (found == idle_.end())
        return std::nullopt;
    auto& connections = found->second;
    auto socket = std::optional<Tcp::socket>();
    while (!socket && !connections.empty()) {
        const auto idle = connections.back();
        connections.pop_back();
        idle->expiry.cancel();
        auto ignored = ErrorCode {};
        idle->socket.cancel(ignored);
        if (isReusable(idle->socket))
            socket.emplace(std::move(idle->socket));
        else
            idle->socket.close(ignored);
    }
    if (connections.empty())
        idle_.erase(found);
    return socket;
}

auto HttpIdlePool::put(const Endpoint& endpoint, Tcp::socket socket) -> void
{
    if (cleared_ || maxPerEndpoint_ == 0)
        return;
    const auto key = endpoint.text();
    const auto& connections = idle_[key];
    if (connections.size() >= maxPerEndpoint_)
        remove(key, connections.front());
    const auto idle = std::make_shared<Idle>(std::move(socket));
    idle_[key].push_back(idle);
    watch(key, idle);
}

auto HttpIdlePool::clear() -> void
{
    cleared_ = true;
    idle_.clear();
}

auto HttpIdlePool::watch(const std::string& key, const std::shared_ptr<Idle>& idle) -> void
{
    const auto removeEntry
        = [weakPool = weak_from_this(), weakIdle = std::weak_ptr(idle), key](const ErrorCode& error) {
              const auto pool = weakPool.lock();
              const auto entry = weakIdle.lock();
              if (pool && entry && error != asio::error::operation_aborted)
                  pool->remove(key, entry);
          };
    idle->socket.async_wait(Tcp::socket::wait_read, removeEntry);
    idle->expiry.expires_after(idleTimeout_);
    idle->expiry.async_wait(removeEntry);
}

auto HttpIdlePool::remove(const std::string& key, const std::shared_ptr<Idle>& idle) -> void
{
    const auto found = idle_.find(key);
    if (found == idle_.end())
        return;
    std::erase_if(
        found->second, [target = idle.get()](const auto& candidate) { return candidate.get() == target; });
    if (found->second.empty())
        idle_.erase(found);
}

} // namespace camphorshunt::net
