#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/result.h"

#include "meshlink.h"
#include "meshplan.h"
#include "peerframe.h"

namespace camphorshunt::router {

/** Connections to other routers: opens, accepts and closes them as its `MeshPlan` says. Not thread-safe. */
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

    /** `plan` must outlive the mesh. */
    static auto listen(boost::asio::io_context& context, const Endpoint& endpoint, MeshPlan& plan,
        Handlers handlers) -> Result<std::unique_ptr<PeerMesh>>;
    ~PeerMesh();
    PeerMesh(const PeerMesh&) = delete;
    PeerMesh(PeerMesh&&) = delete;
    auto operator=(const PeerMesh&) -> PeerMesh& = delete;
    auto operator=(PeerMesh&&) -> PeerMesh& = delete;

    /** Drops the frame if the router is not connected. */
    auto send(RouterId router, const PeerFrame& frame) -> void;
    auto stop() -> void;

private:
    using Tcp = boost::asio::ip::tcp;

    struct Peer {
        std::shared_ptr<MeshLink> link;
        std::shared_ptr<MeshLink> dialling;
    };

    PeerMesh(boost::asio::io_context& context, MeshPlan& plan, Handlers handlers);

    auto accept() -> void;
    auto dial(RouterId router) -> void;
    auto dialDue() -> void;
    auto makeLink(Tcp::socket socket, bool dialled) -> std::shared_ptr<MeshLink>;
    auto helloReceived(const std::shared_ptr<MeshLink>& link, const PeerHello& hello) -> void;
    auto closed(MeshLink& link, std::string_view reason) -> void;

    boost::asio::io_context& context_;
    MeshPlan& plan_;
    Handlers handlers_;
    Tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    std::map<RouterId, Peer> peers_;
    std::vector<std::shared_ptr<MeshLink>> unidentified_;
};

} // namespace camphorshunt::router
