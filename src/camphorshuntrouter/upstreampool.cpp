#include "upstreampool.h"

#include <algorithm>
#include <utility>

#include "clock.h"

namespace camphorshunt::router {

namespace {

using std::chrono::milliseconds;

/** Idle time of a connection if the upstream announces none. */
constexpr auto defaultIdleTime = milliseconds(800);
/** A connection is not reused in this last part of its idle time, since the upstream may be closing it. */
constexpr auto idleMargin = milliseconds(600);

} // namespace

auto UpstreamPool::acquireIdle(UpstreamId upstream, Time now) -> std::shared_ptr<UpstreamConnection>
{
    const auto found = idle_.find(upstream);
    if (found == idle_.end())
        return nullptr;
    auto& connections = found->second;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (connection->isReusable() && now < connection->idleUntil())
            return connection;
        connection->close();
    }
    return nullptr;
}

auto UpstreamPool::send(const UpstreamEntry& entry, std::string request, bool isHead, bool fresh,
    AnswerListener& listener) -> std::shared_ptr<UpstreamConnection>
{
    auto connection = fresh ? nullptr : acquireIdle(entry.id(), steadyNow());
    if (connection) {
        connection->send(std::move(request), isHead, listener);
        return connection;
    }
    ++opened_;
    connection = std::make_shared<UpstreamConnection>(context_, entry);
    connection->dial(std::move(request), isHead, listener);
    return connection;
}

auto UpstreamPool::release(
    std::shared_ptr<UpstreamConnection> connection, std::optional<std::chrono::seconds> idleTimeout) -> void
{
    if (!connection->isReusable())
        return;
    const auto idle = idleTimeout ? milliseconds(*idleTimeout) - idleMargin : defaultIdleTime;
    auto& connections = idle_[connection->upstream()];
    if (idle <= milliseconds(0) || connections.size() >= maxIdle_) {
        connection->close();
        return;
    }
    connection->setIdleUntil(steadyNow() + idle);
    connections.push_back(std::move(connection));
}

auto UpstreamPool::sweep(Time now) -> void
{
    for (auto& [upstream, connections] : idle_) {
        std::erase_if(connections, [now](const std::shared_ptr<UpstreamConnection>& connection) {
            if (connection->isReusable() && now < connection->idleUntil())
                return false;
            connection->close();
            return true;
        });
    }
    absl::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace camphorshunt::router
