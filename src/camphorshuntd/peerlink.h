#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "camphorshunt/endpoint.h"
#include "camphorshunt/ids.h"
#include "camphorshunt/peermessage.h"
#include "camphorshunt/result.h"

#include "framereader.h"
#include "handshake.h"
#include "peertraffic.h"

namespace camphorshunt {

/** One connection to another router: a handshake, then frames in both directions. Peers thread only. */
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    using Socket = boost::asio::ip::tcp::socket;

    struct Handlers {
        /** Called when the remote side has proved that it knows the shared key. */
        std::function<void(PeerLink&)> onReady;
        std::function<void(PeerLink&, PeerMessage)> onMessage;
        /** Called once when the link fails; not called after `close`. */
        std::function<void(PeerLink&, const Error&)> onClosed;
    };

    PeerLink(Socket socket, HandshakeRole role, const PeerTransport::Settings& settings, PeerTraffic& traffic,
        Handlers handlers);

    /** For a dialler: connects, then starts the handshake. */
    auto dial(const boost::asio::ip::tcp::endpoint& endpoint) -> void;
    /** For an acceptor, whose socket is connected: starts the handshake. */
    auto start() -> void;
    /** Sends one frame including its head; closes the link if too many bytes are unsent. */
    auto send(std::span<const std::uint8_t> frame) -> void;
    /** Closes the link; no handler is called afterwards. */
    auto close() -> void;

    auto isReady() const -> bool { return ready_; }
    /** The remote side's hello; not authenticated until `isReady`. */
    auto remote() const -> const Hello& { return remote_; }
    auto router() const -> RouterId { return idOf<RouterId>(remote_.name); }

private:
    using Clock = std::chrono::steady_clock;
    using Step = void (PeerLink::*)();

    auto fail(const Error& error) -> void;
    auto readExactly(std::span<std::uint8_t> bytes, Step then) -> void;
    auto readName() -> void;
    auto exchangeProofs() -> void;
    auto checkProof() -> void;
    auto expectedProof(HandshakeRole sender) const -> Proof;
    auto readFrames() -> void;
    auto handleInput(std::size_t size) -> void;
    auto enqueue(std::span<const std::uint8_t> bytes) -> void;
    auto write() -> void;
    auto scheduleCheck() -> void;
    auto checkTimeouts() -> void;

    Socket socket_;
    boost::asio::steady_timer timer_;
    HandshakeRole role_;
    std::string key_;
    PeerTraffic* traffic_;
    Handlers handlers_;
    Hello local_;
    Hello remote_;
    std::array<std::uint8_t, helloHeadBytes> head_ {};
    Proof remoteProof_ {};
    FrameReader reader_;
    std::vector<std::uint8_t> input_;
    std::vector<std::uint8_t> queued_;
    std::vector<std::uint8_t> writing_;
    Clock::time_point started_;
    Clock::time_point lastRead_;
    Clock::time_point lastWrite_;
    Clock::time_point lastCheck_;
    bool ready_ {};
    bool closed_ {};
};

} // namespace camphorshunt
