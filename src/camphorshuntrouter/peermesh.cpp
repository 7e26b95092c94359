#include "peermesh.h"

#include <utility>

#include "clock.h"
#include "listening.h"

namespace camphorshunt::router {

namespace {

using namespace std::chrono_literals;

constexpr auto dialCheckInterval = 50ms;
/** Accepted connections without a hello; beyond this the oldest is closed. */
constexpr auto maxUnidentified = std::size_t { 512 };

auto helloFrame(const PeerHello& hello) -> PeerFrame
{
    auto frame = PeerFrame {};
    frame.hello = hello;
    return frame;
}

} // namespace

PeerMesh::PeerMesh(boost::asio::io_context& context, MeshPlan& plan, Handlers handlers)
    : context_(context)
    , plan_(plan)
    , handlers_(std::move(handlers))
    , acceptor_(context)
    , timer_(context)
{
}

PeerMesh::~PeerMesh() { stop(); }

auto PeerMesh::listen(boost::asio::io_context& context, const Endpoint& endpoint, MeshPlan& plan,
    Handlers handlers) -> Result<std::unique_ptr<PeerMesh>>
{
    auto mesh = std::unique_ptr<PeerMesh>(new PeerMesh(context, plan, std::move(handlers)));
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
            link->start(helloFrame(plan_.hello()));
        }
        accept();
    });
}

auto PeerMesh::dial(RouterId router) -> void
{
    const auto endpoint = Endpoint::parse(plan_.hubs().address(router).endpoint, "peer");
    const auto remote = endpoint ? net::tcpEndpointOf(endpoint.value(), "peer")
                                 : Result<boost::asio::ip::tcp::endpoint>(endpoint.error());
    if (!remote) {
        plan_.dialFailed(steadyNow(), router);
        return;
    }
    auto& peer = peers_[router];
    peer.dialling = makeLink(Tcp::socket(context_), true);
    peer.dialling->dial(remote.value(), helloFrame(plan_.hello()));
}

auto PeerMesh::dialDue() -> void
{
    const auto due = plan_.takeDue(steadyNow());
    for (const auto router : due.expired) {
        if (auto& dialling = peers_[router].dialling)
            std::exchange(dialling, nullptr)->close();
    }
    for (const auto router : due.dials)
        dial(router);
    for (const auto router : due.surplus) {
        std::exchange(peers_[router].link, nullptr)->close();
        handlers_.onDisconnected(router, "neither router is a hub");
    }
    std::erase_if(peers_, [](const auto& entry) { return !entry.second.link && !entry.second.dialling; });
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
    const auto admission = plan_.admit(steadyNow(), hello, link->isDialled());
    auto& peer = peers_[router];
    if (peer.dialling == link)
        peer.dialling.reset();
    if (admission == MeshPlan::Admission::Rejected) {
        link->close();
        return;
    }
    if (admission == MeshPlan::Admission::Replaces) {
        std::exchange(peer.link, nullptr)->close();
        handlers_.onDisconnected(router, "replaced");
    }
    peer.link = link;
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
        if (isLink) {
            plan_.disconnected(steadyNow(), router);
            handlers_.onDisconnected(router, reason);
        } else {
            plan_.dialFailed(steadyNow(), router);
            if (link.wasRefused())
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

} // namespace camphorshunt::router
