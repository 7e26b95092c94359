#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "camphorshunt/action.h"
#include "camphorshunt/endpoint.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"
#include "camphorshunt/result.h"

namespace camphorshunt {

/**
 * Authenticated connections to the other routers, which carry messages as frames. Peers thread only, except
 * `traffic`.
 */
class PeerTransport {
public:
    struct Settings {
        std::string name;
        Incarnation incarnation;
        /** Port 0 selects a free port; `endpoint` returns it. */
        Endpoint listen;
        std::string sharedKey;
    };

    struct Handlers {
        std::function<void(RouterId, Incarnation)> onConnected;
        /** Called before `onConnected` is called again for the same router. */
        std::function<void(RouterId)> onDisconnected;
        std::function<void(RouterId, PeerMessage)> onMessage;
        std::function<void(LogLevel, std::string, std::vector<LogField>)> onLog;
    };

    static auto listen(boost::asio::io_context& context, const Settings& settings, Handlers handlers)
        -> Result<std::unique_ptr<PeerTransport>>;
    virtual ~PeerTransport() = default;

    virtual auto endpoint() const -> Endpoint = 0;
    /**
     * Maintains a connection to this router at `endpoint`; an empty address closes it. The router with the
     * smaller id dials, the other one waits for it.
     */
    virtual auto keepConnected(RouterId router, const Endpoint& endpoint) -> void = 0;
    /** Drops the message if the router is not connected. */
    virtual auto send(RouterId router, const PeerMessage& message) -> void = 0;

    struct Traffic {
        std::uint64_t framesIn {};
        std::uint64_t framesOut {};
        std::uint64_t bytesIn {};
        std::uint64_t bytesOut {};
        std::uint64_t malformed {};
    };
    /** May be called on any thread. */
    virtual auto traffic() const -> Traffic = 0;
};

} // namespace camphorshunt
