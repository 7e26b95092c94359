#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "camphorshunt/ids.h"

#include "framereader.h"
#include "peerframe.h"

namespace camphorshunt::router {

/** One connection to another router. The first frame in each direction is a hello. Not thread-safe. */
class MeshLink : public std::enable_shared_from_this<MeshLink> {
public:
    using Socket = boost::asio::ip::tcp::socket;

    struct Handlers {
        std::function<void(const std::shared_ptr<MeshLink>&, const PeerHello&)> onHello;
        std::function<void(MeshLink&, PeerFrame)> onFrame;
        /** Called at most once, and not after `close`. */
        std::function<void(MeshLink&, std::string_view reason)> onClosed;
    };

    MeshLink(Socket socket, bool dialled, Handlers handlers);

    auto dial(const boost::asio::ip::tcp::endpoint& endpoint, const PeerFrame& hello) -> void;
    /** Sends the hello and starts reading. The socket must be connected. */
    auto start(const PeerFrame& hello) -> void;
    auto send(const PeerFrame& frame) -> void;
    /** Closes the connection; no handler is called afterwards. */
    auto close() -> void;

    auto isDialled() const -> bool { return dialled_; }
    auto router() const -> RouterId { return router_; }
    /** The dial was refused: the host is up, but nothing listens there. */
    auto wasRefused() const -> bool { return refused_; }
    /** It was closed because the other end sent something that is no frame. */
    auto wasMalformed() const -> bool { return malformed_; }

private:
    auto fail(std::string_view reason) -> void;
    auto read() -> void;
    auto handleInput(std::size_t size) -> void;
    auto write() -> void;

    Socket socket_;
    bool dialled_;
    Handlers handlers_;
    RouterId router_;
    FrameReader reader_;
    std::array<std::uint8_t, 2048> input_ {};
    std::vector<std::uint8_t> queued_;
    std::vector<std::uint8_t> writing_;
    bool helloReceived_ = false;
    bool closed_ = false;
    bool refused_ = false;
    bool malformed_ = false;
};

} // namespace camphorshunt::router
