#pragma once

#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>

#include "camphorshunt/upstreamentry.h"

#include "upstreamconnection.h"

namespace camphorshunt::router {

/** Pool of idle connections to upstreams, each reused only for the same incarnation of its upstream. */
class UpstreamPool {
public:
    explicit UpstreamPool(boost::asio::io_context& context)
        : context_(context)
    {
    }

    /** Sends on an idle connection, or on a new one if there is none or if `fresh`. */
    auto send(const UpstreamEntry& entry, std::string request, bool isHead, bool fresh,
        AnswerListener& listener) -> std::shared_ptr<UpstreamConnection>;
    /** Returns a connection whose answer has ended. `idleTimeout`: announced by the upstream, if at all. */
    auto release(std::shared_ptr<UpstreamConnection> connection,
        std::optional<std::chrono::seconds> idleTimeout) -> void;
    /** Closes connections that have been idle too long. */
    auto sweep(Time now) -> void;
    auto setMaxIdle(std::size_t perUpstream) -> void { maxIdle_ = perUpstream; }

    auto opened() const -> std::uint64_t { return opened_; }

private:
    using Connections = std::vector<std::shared_ptr<UpstreamConnection>>;

    auto acquireIdle(UpstreamId upstream, Time now) -> std::shared_ptr<UpstreamConnection>;

    boost::asio::io_context& context_;
    absl::flat_hash_map<UpstreamId, Connections> idle_;
    std::size_t maxIdle_ = 8;
    std::uint64_t opened_ = 0;
};

} // namespace camphorshunt::router
