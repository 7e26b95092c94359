#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/enginestate.h"

namespace camphorshunt::router {

/** Asks engines for their reports, each on a connection of its own. */
class EngineQuerySender {
public:
    using Handler = std::function<void(const EngineQueryResult&)>;

    explicit EngineQuerySender(boost::asio::io_context& context)
        : context_(context)
    {
    }

    /** Calls the handler once, never from within this call, and not after the context has stopped. */
    auto send(const Endpoint& engine, Handler handler) -> void;

private:
    boost::asio::io_context& context_;
};

} // namespace camphorshunt::router
