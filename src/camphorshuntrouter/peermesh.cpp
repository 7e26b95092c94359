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
/** A connection is kept for this long after neither end is a hub. */
constexpr auto surplusTime = Duration(10s);
/** Accepted connections without a hello; beyond this the oldest is closed. */
constexpr auto maxUnidentified = std::size_t { 512 };

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
    , hubs_({ hello_.endpoint, hello_.processorShare, hello_.failureDomain })
    , random_(static_cast<std::minstd_rand::result_type>(hello_.incarnation ^ self_.value))
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

auto PeerMesh::addPeer(const RouterAddress& address) -> void
{
    if (!hubs_.knows(idOf<RouterId>(address.endpoint)) && !Endpoint::parse(address.endpoint, "peer"))
        return;
    hubs_.learn(address);
}

auto PeerMesh::setResponsive(RouterId router, bool responsive) -> void
{
    hubs_.setReachable(steadyNow(), router, responsive);
}

auto PeerMesh::dial(RouterId router, Peer& peer) -> void
{
    const auto endpoint = Endpoint::parse(hubs_.address(router).endpoint, "peer");
    const auto remote = endpoint ? net::tcpEndpointOf(endpoint.value(), "peer")
                                 : Result<boost::asio::ip::tcp::endpoint>(endpoint.error());
    if (!remote) {
        hubs_.setReachable(steadyNow(), router, false);
        redialAfter(peer);
        return;
    }
    peer.nextDial = steadyNow() + dialTimeout;
    peer.dialling = makeLink(Tcp::socket(context_), true);
    peer.dialling->dial(remote.value(), helloFrame(hello_));
}

auto PeerMesh::redialAfter(Peer& peer) -> void
{
    // Jittered, so that the routers of a fleet do not dial a router that returned all at once.
    auto jitter = std::uniform_real_distribution<double>(0.5, 1.5);
    peer.nextDial = steadyNow() + scaled(peer.backoff, jitter(random_));
}

auto PeerMesh::dialDue() -> void
{
    const auto time = steadyNow();
    hubs_.removeUnreachable(time, removePeerAfter);
    std::erase_if(peers_, [this](const auto& entry) {
        const auto& peer = entry.second;
        return !peer.link && !peer.dialling && !hubs_.knows(entry.first);
    });
    // A failed dial changes the targets.
    const auto targets = hubs_.dialTargets();
    for (const auto router : targets) {
        auto& peer = peers_[router];
        if (peer.link || time < peer.nextDial)
            continue;
        if (peer.dialling) {
            std::exchange(peer.dialling, nullptr)->close();
            hubs_.setReachable(time, router, false);
        }
        peer.backoff = std::clamp(peer.backoff * 2, minBackoff, maxBackoff);
        dial(router, peer);
    }
    closeSurplus(time);
    timer_.expires_after(dialCheckInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            dialDue();
    });
}

auto PeerMesh::closeSurplus(Time now) -> void
{
    const auto selfIsHub = hubs_.isHub(self_);
    for (auto& [router, peer] : peers_) {
        if (!peer.link || !peer.link->isDialled())
            continue;
        if (selfIsHub || hubs_.isHub(router) || peer.neededAt == Time {})
            peer.neededAt = now;
        if (now - peer.neededAt <= surplusTime)
            continue;
        std::exchange(peer.link, nullptr)->close();
        hubs_.setConnected(router, false);
        handlers_.onDisconnected(router, "neither router is a hub");
    }
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
    hubs_.learn({ hello.endpoint, hello.processorShare, hello.failureDomain });
    auto& peer = peers_[router];
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
    peer.neededAt = {};
    hubs_.setConnected(router, true);
    hubs_.setReachable(steadyNow(), router, true);
    handlers_.onConnected(router, hello);
}

auto PeerMesh::closed(MeshLink& link, std::string_view reason) -> void
{
    const auto shared = link.shared_from_this();
    std::erase(unidentified_, shared);
    if (link.wasMalformed() && link.router() == RouterId {} && handlers_.onMalformed)
        handlers_.onMalformed(reason);
    for (auto& [router, peer] : peers_) {
        const auto isLink = peer.link == shared;
        if (!isLink && peer.dialling != shared)
            continue;
        (isLink ? peer.link : peer.dialling).reset();
        redialAfter(peer);
        hubs_.setReachable(steadyNow(), router, false);
        if (isLink) {
            hubs_.setConnected(router, false);
            handlers_.onDisconnected(router, reason);
        } else if (link.wasRefused()) {
            handlers_.onRefused(router);
        }
        return;
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

auto PeerMesh::candidates() const -> std::vector<RouterAddress>
{
    auto addresses = std::vector<RouterAddress> {};
    for (const auto router : hubs_.candidates())
        addresses.push_back(hubs_.address(router));
    return addresses;
}

auto PeerMesh::takeNewCandidates() -> std::vector<RouterAddress>
{
    auto added = std::vector<RouterAddress> {};
    for (const auto router : hubs_.candidates()) {
        if (announced_.insert(router).second)
            added.push_back(hubs_.address(router));
    }
    std::erase_if(announced_, [this](RouterId router) { return !hubs_.knows(router); });
    return added;
}

} // namespace camphorshunt::router
