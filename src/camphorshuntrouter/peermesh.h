#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/result.h"
#include "camphorshunt/time.h"

#include "hubregistry.h"
#include "meshlink.h"
#include "peerframe.h"

namespace camphorshunt::router {

/**
 * Connections to the hubs of the fleet, and those that other routers open to this one. A router is identified
 * by the address on which it listens for peers. Either end may dial; of two connections between the same
 * routers, the one dialled by the router with the smaller address is kept. Not thread-safe.
 */
class PeerMesh {
public:
    struct Handlers {
        std::function<void(RouterId, const PeerHello&)> onConnected;
        std::function<void(RouterId, std::string_view reason)> onDisconnected;
        std::function<void(RouterId, PeerFrame)> onFrame;
        /** The host of a router that was connected answers, but the process is gone. */
        std::function<void(RouterId)> onRefused;
        /** A connection was closed whose first frame is no hello. */
        std::function<void(std::string_view reason)> onMalformed;
    };

    static auto listen(boost::asio::io_context& context, const Endpoint& endpoint, PeerHello self,
        Handlers handlers) -> Result<std::unique_ptr<PeerMesh>>;
    ~PeerMesh();
    PeerMesh(const PeerMesh&) = delete;
    PeerMesh(PeerMesh&&) = delete;
    auto operator=(const PeerMesh&) -> PeerMesh& = delete;
    auto operator=(PeerMesh&&) -> PeerMesh& = delete;

    /** Connects to the router if it is a hub, and reconnects when the connection is lost. */
    auto addPeer(const RouterAddress& address) -> void;
    /** A connected router that is silent is no hub until it is heard again. */
    auto setResponsive(RouterId router, bool responsive) -> void;
    /** Drops the frame if the router is not connected. */
    auto send(RouterId router, const PeerFrame& frame) -> void;
    auto hubs() const -> const HubRegistry& { return hubs_; }
    /** Hubs and standby routers that were not returned before. */
    auto takeNewCandidates() -> std::vector<RouterAddress>;
    /** All hubs and standby routers. */
    auto candidates() const -> std::vector<RouterAddress>;
    auto self() const -> RouterId { return self_; }
    auto stop() -> void;

private:
    using Tcp = boost::asio::ip::tcp;

    struct Peer {
        std::shared_ptr<MeshLink> link;
        std::shared_ptr<MeshLink> dialling;
        Time nextDial {};
        Duration backoff {};
        /** When the router was last a hub, or this one was. */
        Time neededAt {};
    };

    PeerMesh(boost::asio::io_context& context, PeerHello hello, Handlers handlers);

    auto accept() -> void;
    auto dial(RouterId router, Peer& peer) -> void;
    auto dialDue() -> void;
    auto closeSurplus(Time now) -> void;
    auto redialAfter(Peer& peer) -> void;
    auto makeLink(Tcp::socket socket, bool dialled) -> std::shared_ptr<MeshLink>;
    auto helloReceived(const std::shared_ptr<MeshLink>& link, const PeerHello& hello) -> void;
    auto closed(MeshLink& link, std::string_view reason) -> void;

    boost::asio::io_context& context_;
    PeerHello hello_;
    RouterId self_;
    Handlers handlers_;
    Tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    HubRegistry hubs_;
    std::map<RouterId, Peer> peers_;
    std::vector<std::shared_ptr<MeshLink>> unidentified_;
    std::set<RouterId> announced_;
    std::minstd_rand random_;
};

} // namespace camphorshunt::router
