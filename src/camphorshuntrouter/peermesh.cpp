#include "peermesh.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "listening.h"

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

constexpr auto minBackoff = Duration(100ms);
constexpr auto maxBackoff = Duration(2s);
constexpr auto dialCheckInterval = 50ms;
constexpr auto dialTimeout = Duration(1s);
/** Addresses unreachable for this long are removed; a router that returns there dials the others. */
constexpr auto removePeerAfter = Duration(60s);
/** Accepted connections without a hello; beyond this the oldest is closed. */
constexpr auto maxUnidentified = std::size_t { 64 };

auto helloFrame(const PeerHello& hello) -> PeerFrame
{
    auto frame = PeerFrame {};
    frame.hello = hello;
    return frame;
}

} // namespace

PeerMesh::PeerMesh(boost::asio::io_context& context, PeerHello hello, Handlers handlers)
    : context_(context)
    , hello_(std::move(hello))
    , self_(idOf<RouterId>(hello_.endpoint))
    , handlers_(std::move(handlers))
    , acceptor_(context)
    , timer_(context)
{
}

PeerMesh::~PeerMesh() { stop(); }

auto PeerMesh::listen(boost::asio::io_context& context, const Endpoint& endpoint, PeerHello self,
    Handlers handlers) -> Result<std::unique_ptr<PeerMesh>>
{
    auto mesh = std::unique_ptr<PeerMesh>(new PeerMesh(context, std::move(self), std::move(handlers)));
    const auto opened = net::listenOn(mesh->acceptor_, endpoint, "listen.peers");
    if (!opened)
        return opened.error();
    mesh->accept();
    mesh->dialDue();
    return Result<std::unique_ptr<PeerMesh>>(std::move(mesh));
}

auto PeerMesh::stop() -> void
{
    auto ignored = boost::system::error_code {};
    acceptor_.close(ignored);
    timer_.cancel();
    for (auto& [router, peer] : peers_) {
        for (auto* link : { &peer.link, &peer.dialling }) {
            if (*link)
                std::exchange(*link, nullptr)->close();
        }
    }
    for (const auto& link : std::exchange(unidentified_, {}))
        link->close();
}

auto PeerMesh::accept() -> void
{
    acceptor_.async_accept([this](const boost::system::error_code& error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !acceptor_.is_open())
            return;
        if (!error) {
            if (unidentified_.size() >= maxUnidentified) {
                unidentified_.front()->close();
                unidentified_.erase(unidentified_.begin());
            }
            const auto link = makeLink(std::move(socket), false);
            unidentified_.push_back(link);
            link->start(helloFrame(hello_));
        }
        accept();
    });
}

auto PeerMesh::addPeer(const std::string& endpoint) -> void
{
    const auto router = idOf<RouterId>(endpoint);
    if (router == self_ || peers_.contains(router) || !Endpoint::parse(endpoint, "peer"))
        return;
    auto& peer = peers_[router];
    peer.endpoint = endpoint;
    peer.backoff = minBackoff;
    peer.lostAt = steadyNow();
    dial(peer);
}

auto PeerMesh::dial(Peer& peer) -> void
{
    const auto endpoint = Endpoint::parse(peer.endpoint, "peer");
    const auto remote = net::tcpEndpointOf(endpoint.value(), "peer");
    if (!remote)
        return;
    peer.nextDial = steadyNow() + dialTimeout;
    peer.dialling = makeLink(Tcp::socket(context_), true);
    peer.dialling->dial(remote.value(), helloFrame(hello_));
}

auto PeerMesh::dialDue() -> void
{
    const auto time = steadyNow();
    std::erase_if(peers_, [time](const auto& entry) {
        const auto& peer = entry.second;
        return !peer.link && !peer.dialling && time - peer.lostAt > removePeerAfter;
    });
    for (auto& [router, peer] : peers_) {
        if (peer.link || time < peer.nextDial)
            continue;
        if (peer.dialling)
            std::exchange(peer.dialling, nullptr)->close();
        peer.backoff = std::min(peer.backoff * 2, maxBackoff);
        dial(peer);
    }
    timer_.expires_after(dialCheckInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            dialDue();
    });
}

auto PeerMesh::makeLink(Tcp::socket socket, bool dialled) -> std::shared_ptr<MeshLink>
{
    auto handlers = MeshLink::Handlers {
        .onHello = [this](const std::shared_ptr<MeshLink>& link,
                       const PeerHello& hello) { helloReceived(link, hello); },
        .onFrame
        = [this](MeshLink& link, PeerFrame frame) { handlers_.onFrame(link.router(), std::move(frame)); },
        .onClosed = [this](MeshLink& link, std::string_view reason) { closed(link, reason); },
    };
    return std::make_shared<MeshLink>(std::move(socket), dialled, std::move(handlers));
}

auto PeerMesh::helloReceived(const std::shared_ptr<MeshLink>& link, const PeerHello& hello) -> void
{
    std::erase(unidentified_, link);
    const auto router = link->router();
    if (router == self_) {
        link->close();
        return;
    }
    auto& peer = peers_[router];
    peer.endpoint = hello.endpoint;
    if (peer.dialling == link)
        peer.dialling.reset();
    if (peer.link) {
        // Both routers dialled: both ends keep the connection dialled by the smaller address.
        const auto keepDialled = hello_.endpoint < hello.endpoint;
        const auto isSecond = peer.link->isDialled() != link->isDialled();
        if (isSecond && link->isDialled() != keepDialled) {
            link->close();
            return;
        }
        std::exchange(peer.link, nullptr)->close();
        handlers_.onDisconnected(router, "replaced");
    }
    peer.link = link;
    peer.backoff = minBackoff;
    handlers_.onConnected(router, hello);
}

auto PeerMesh::closed(MeshLink& link, std::string_view reason) -> void
{
    const auto shared = link.shared_from_this();
    std::erase(unidentified_, shared);
    for (auto& [router, peer] : peers_) {
        if (peer.dialling == shared) {
            peer.dialling.reset();
            peer.nextDial = steadyNow() + peer.backoff;
            return;
        }
        if (peer.link == shared) {
            peer.link.reset();
            peer.lostAt = steadyNow();
            peer.nextDial = steadyNow() + peer.backoff;
            handlers_.onDisconnected(router, reason);
            return;
        }
    }
}

auto PeerMesh::send(RouterId router, const PeerFrame& frame) -> void
{
    const auto found = peers_.find(router);
    if (found == peers_.end() || !found->second.link)
        return;
    const auto link = found->second.link;
    link->send(frame);
}

auto PeerMesh::broadcast(const PeerFrame& frame) -> void
{
    auto connected = std::vector<std::shared_ptr<MeshLink>> {};
    for (const auto& [router, peer] : peers_) {
        if (peer.link)
            connected.push_back(peer.link);
    }
    for (const auto& link : connected)
        link->send(frame);
}

auto PeerMesh::members() const -> std::vector<std::string>
{
    auto endpoints = std::vector<std::string> {};
    for (const auto& [router, peer] : peers_) {
        if (peer.link)
            endpoints.push_back(peer.endpoint);
    }
    return endpoints;
}

} // namespace camphorshunt::router
