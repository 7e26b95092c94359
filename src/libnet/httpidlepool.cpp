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

/** A close or stray bytes may have come that the watch has not reported yet. */
auto isQuiet(Tcp::socket& socket) -> bool
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

HttpIdlePool::HttpIdlePool(std::size_t perEndpoint, std::chrono::milliseconds idleTimeout)
    : perEndpoint_(perEndpoint)
    , idleTimeout_(idleTimeout)
{
}

auto HttpIdlePool::take(const Endpoint& endpoint) -> std::optional<Tcp::socket>
{
    const auto found = idle_.find(endpoint.text());
    if (found == idle_.end())
        return std::nullopt;
    auto& kept = found->second;
    auto socket = std::optional<Tcp::socket>();
    while (!socket && !kept.empty()) {
        const auto idle = kept.back();
        kept.pop_back();
        idle->expiry.cancel();
        auto ignored = ErrorCode {};
        idle->socket.cancel(ignored);
        if (isQuiet(idle->socket))
            socket.emplace(std::move(idle->socket));
        else
            idle->socket.close(ignored);
    }
    if (kept.empty())
        idle_.erase(found);
    return socket;
}

auto HttpIdlePool::put(const Endpoint& endpoint, Tcp::socket socket) -> void
{
    if (cleared_ || perEndpoint_ == 0)
        return;
    const auto key = endpoint.text();
    const auto& kept = idle_[key];
    if (kept.size() >= perEndpoint_)
        remove(key, kept.front());
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
    const auto drop
        = [weakPool = weak_from_this(), weakIdle = std::weak_ptr(idle), key](const ErrorCode& error) {
              const auto pool = weakPool.lock();
              const auto entry = weakIdle.lock();
              if (pool && entry && error != asio::error::operation_aborted)
                  pool->remove(key, entry);
          };
    idle->socket.async_wait(Tcp::socket::wait_read, drop);
    idle->expiry.expires_after(idleTimeout_);
    idle->expiry.async_wait(drop);
}

auto HttpIdlePool::remove(const std::string& key, const std::shared_ptr<Idle>& idle) -> void
{
    const auto found = idle_.find(key);
    if (found == idle_.end())
        return;
    std::erase_if(found->second, [doomed = idle.get()](const auto& kept) { return kept.get() == doomed; });
    if (found->second.empty())
        idle_.erase(found);
}

} // namespace camphorshunt::net
