#include "peertransport.h"

#include <chrono>
#include <deque>
#include <map>
#include <random>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "framecodec.h"
#include "listening.h"
#include "peerlink.h"

namespace camphorshunt {

namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr auto minRedialDelay = std::chrono::milliseconds { 50 };
constexpr auto maxRedialDelay = std::chrono::milliseconds { 1000 };
/** Limit of accepted connections in the handshake; beyond it the oldest one is closed. */
constexpr auto maxHalfOpen = std::size_t { 64 };
/** At most one line per event name is logged in this time, so that a flood does not fill the log. */
constexpr auto logInterval = 1s;
constexpr auto acceptRetryDelay = 100ms;

auto eventName(Error::Code code) -> std::string
{
    if (code == Error::Code::Malformed)
        return "peer-malformed";
    return code == Error::Code::Unauthorised ? "peer-refused" : "peer-closed";
}

struct Peer {
    explicit Peer(boost::asio::io_context& context)
        : redial(context)
    {
    }

    /** Empty for a router known only because it dialled this one. */
    Endpoint endpoint;
    std::shared_ptr<PeerLink> link;
    std::shared_ptr<PeerLink> dialling;
    boost::asio::steady_timer redial;
    std::chrono::milliseconds backoff = minRedialDelay;
};

struct LogBudget {
    Clock::time_point next;
    std::uint64_t suppressed {};
};

class TcpPeerTransport final : public PeerTransport {
public:
    TcpPeerTransport(boost::asio::io_context& context, Settings settings, Handlers handlers)
        : context_(context)
        , settings_(std::move(settings))
        , handlers_(std::move(handlers))
        , self_(idOf<RouterId>(settings_.name))
        , acceptor_(context)
        , acceptTimer_(context)
        , random_(std::random_device {}())
    {
    }

    ~TcpPeerTransport() override
    {
        for (auto& [router, peer] : peers_)
            closeLinks(peer);
        for (const auto& link : halfOpen_)
            link->close();
    }

    TcpPeerTransport(const TcpPeerTransport&) = delete;
    TcpPeerTransport(TcpPeerTransport&&) = delete;
    auto operator=(const TcpPeerTransport&) -> TcpPeerTransport& = delete;
    auto operator=(TcpPeerTransport&&) -> TcpPeerTransport& = delete;

    auto open() -> Result<void>;
    auto endpoint() const -> Endpoint override;
    auto keepConnected(RouterId router, const Endpoint& endpoint) -> void override;
    auto send(RouterId router, const PeerMessage& message) -> void override;
    auto traffic() const -> Traffic override { return traffic_.counts(); }

private:
    auto accept() -> void;
    auto admit(tcp::socket socket) -> void;
    auto dial(RouterId router) -> void;
    auto scheduleRedial(RouterId router) -> void;
    auto makeLink(tcp::socket socket, HandshakeRole role, RouterId expected) -> std::shared_ptr<PeerLink>;
    auto onLinkReady(PeerLink& link, HandshakeRole role, RouterId expected) -> void;
    auto onLinkClosed(PeerLink& link, const Error& error, RouterId expected) -> void;
    auto removePeer(RouterId router) -> void;
    auto closeLinks(Peer& peer) -> void;
    auto log(LogLevel level, const std::string& event, std::vector<LogField> fields) -> void;

    /** Wraps a callback of a timer or the acceptor so that it does nothing after this object is destroyed. */
    template <typename Function> auto guarded(Function function)
    {
        return
            [alive = std::weak_ptr(alive_), function](const boost::system::error_code& code, auto&&... more) {
                if (!alive.expired())
                    function(code, std::forward<decltype(more)>(more)...);
            };
    }

    boost::asio::io_context& context_;
    Settings settings_;
    Handlers handlers_;
    RouterId self_;
    PeerTraffic traffic_;
    std::shared_ptr<char> alive_ = std::make_shared<char>();
    tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptTimer_;
    std::mt19937_64 random_;
    std::map<RouterId, Peer> peers_;
    std::deque<std::shared_ptr<PeerLink>> halfOpen_;
    std::map<std::string, LogBudget> logBudgets_;
};

auto TcpPeerTransport::open() -> Result<void>
{
    const auto opened = net::listenOn(acceptor_, settings_.listen, "listen");
    if (!opened)
        return opened.error();
    accept();
    return boost::outcome_v2::success();
}

auto TcpPeerTransport::endpoint() const -> Endpoint
{
    auto code = boost::system::error_code {};
    const auto local = acceptor_.local_endpoint(code);
    return { local.address().to_string(), local.port() };
}

auto TcpPeerTransport::keepConnected(RouterId router, const Endpoint& endpoint) -> void
{
    if (endpoint.address.empty()) {
        removePeer(router);
        return;
    }
    if (router == self_)
        return;
    auto& peer = peers_.try_emplace(router, context_).first->second;
    const auto endpointChanged = peer.endpoint != endpoint;
    peer.endpoint = endpoint;
    if (peer.link || self_ > router || !endpointChanged)
        return;
    if (peer.dialling)
        std::exchange(peer.dialling, nullptr)->close();
    peer.backoff = minRedialDelay;
    dial(router);
}

auto TcpPeerTransport::send(RouterId router, const PeerMessage& message) -> void
{
    const auto found = peers_.find(router);
    if (found == peers_.end() || !found->second.link)
        return;
    const auto body = encodeMessage(message);
    if (body.size() > maxFrameBytes) {
        log(LogLevel::Error, "peer-message-too-long", { { "bytes", std::to_string(body.size()) } });
        return;
    }
    auto frame = std::vector<std::uint8_t> {};
    frame.reserve(frameHeaderBytes + body.size());
    appendFrame(frame, body);
    const auto link = found->second.link;
    link->send(frame);
}

auto TcpPeerTransport::accept() -> void
{
    acceptor_.async_accept(guarded([this](const boost::system::error_code& code, tcp::socket socket) {
        if (!code) {
            admit(std::move(socket));
            accept();
            return;
        }
        // The process may be out of file descriptors; an immediate retry would spin.
        log(LogLevel::Warning, "peer-accept-failed", { { "error", code.message() } });
        acceptTimer_.expires_after(acceptRetryDelay);
        acceptTimer_.async_wait(guarded([this](const boost::system::error_code&) { accept(); }));
    }));
}

auto TcpPeerTransport::admit(tcp::socket socket) -> void
{
    if (halfOpen_.size() >= maxHalfOpen) {
        log(LogLevel::Warning, "peer-half-open-limit", { { "limit", std::to_string(maxHalfOpen) } });
        halfOpen_.front()->close();
        halfOpen_.pop_front();
    }
    const auto link = makeLink(std::move(socket), HandshakeRole::Acceptor, {});
    halfOpen_.push_back(link);
    link->start();
}

auto TcpPeerTransport::dial(RouterId router) -> void
{
    auto& peer = peers_.at(router);
    peer.redial.cancel();
    const auto remote = net::tcpEndpointOf(peer.endpoint, "endpoint");
    if (!remote) {
        log(LogLevel::Error, "peer-endpoint-invalid", { { "error", remote.error().text() } });
        return;
    }
    peer.dialling = makeLink(tcp::socket(context_), HandshakeRole::Dialler, router);
    peer.dialling->dial(remote.value());
}

auto TcpPeerTransport::scheduleRedial(RouterId router) -> void
{
    auto& peer = peers_.at(router);
    if (peer.endpoint.address.empty() || self_ > router || peer.link || peer.dialling)
        return;
    const auto minDelay = peer.backoff.count() / 2;
    auto jitter
        = std::uniform_int_distribution<std::chrono::milliseconds::rep>(minDelay, peer.backoff.count());
    peer.redial.expires_after(std::chrono::milliseconds(jitter(random_)));
    peer.backoff = std::min(peer.backoff * 2, maxRedialDelay);
    peer.redial.async_wait(guarded([this, router](const boost::system::error_code& code) {
        const auto found = peers_.find(router);
        if (!code && found != peers_.end() && !found->second.link && !found->second.dialling)
            dial(router);
    }));
}

auto TcpPeerTransport::makeLink(tcp::socket socket, HandshakeRole role, RouterId expected)
    -> std::shared_ptr<PeerLink>
{
    auto handlers = PeerLink::Handlers {
        .onReady = [this, role, expected](PeerLink& link) { onLinkReady(link, role, expected); },
        .onMessage = [this](PeerLink& link,
                         PeerMessage message) { handlers_.onMessage(link.router(), std::move(message)); },
        .onClosed
        = [this, expected](PeerLink& link, const Error& error) { onLinkClosed(link, error, expected); },
    };
    return std::make_shared<PeerLink>(std::move(socket), role, settings_, traffic_, std::move(handlers));
}

auto TcpPeerTransport::onLinkReady(PeerLink& link, HandshakeRole role, RouterId expected) -> void
{
    const auto shared = link.shared_from_this();
    std::erase(halfOpen_, shared);
    const auto router = link.router();
    if (role == HandshakeRole::Dialler && router != expected) {
        link.close();
        onLinkClosed(link,
            failure(
                Error::Code::Unauthorised, "handshake", "the endpoint belongs to a router with another name"),
            expected);
        return;
    }

    auto& peer = peers_.try_emplace(router, context_).first->second;
    if (peer.dialling == shared)
        peer.dialling.reset();
    if (peer.link && peer.link->remote().incarnation > link.remote().incarnation) {
        link.close();
        return;
    }
    if (const auto old = std::exchange(peer.link, shared)) {
        old->close();
        handlers_.onDisconnected(router);
    }
    peer.backoff = minRedialDelay;
    handlers_.onConnected(router, link.remote().incarnation);
}

auto TcpPeerTransport::onLinkClosed(PeerLink& link, const Error& error, RouterId expected) -> void
{
    const auto shared = link.shared_from_this();
    std::erase(halfOpen_, shared);
    if (error.code == Error::Code::Malformed)
        ++traffic_.malformed;
    log(error.code == Error::Code::Io ? LogLevel::Debug : LogLevel::Warning, eventName(error.code),
        { { "peer", link.remote().name }, { "proved", link.isReady() ? "true" : "false" },
            { "error", error.text() } });

    const auto router = link.isReady() && expected.value == 0 ? link.router() : expected;
    const auto found = peers_.find(router);
    if (found == peers_.end())
        return;
    auto& peer = found->second;
    if (peer.dialling == shared)
        peer.dialling.reset();
    const auto wasConnected = peer.link == shared;
    if (wasConnected)
        peer.link.reset();
    scheduleRedial(router);
    if (wasConnected && peer.endpoint.address.empty())
        peers_.erase(found);
    if (wasConnected)
        handlers_.onDisconnected(router);
}

auto TcpPeerTransport::removePeer(RouterId router) -> void
{
    const auto found = peers_.find(router);
    if (found == peers_.end())
        return;
    const auto wasConnected = found->second.link != nullptr;
    closeLinks(found->second);
    peers_.erase(found);
    if (wasConnected)
        handlers_.onDisconnected(router);
}

auto TcpPeerTransport::closeLinks(Peer& peer) -> void
{
    for (auto* link : { &peer.link, &peer.dialling }) {
        if (*link)
            std::exchange(*link, nullptr)->close();
    }
}

auto TcpPeerTransport::log(LogLevel level, const std::string& event, std::vector<LogField> fields) -> void
{
    const auto now = Clock::now();
    auto& budget = logBudgets_[event];
    if (now < budget.next) {
        ++budget.suppressed;
        return;
    }
    budget.next = now + logInterval;
    fields.push_back({ "suppressed", std::to_string(std::exchange(budget.suppressed, 0)) });
    handlers_.onLog(level, event, std::move(fields));
}

} // namespace

auto PeerTransport::listen(boost::asio::io_context& context, const Settings& settings, Handlers handlers)
    -> Result<std::unique_ptr<PeerTransport>>
{
    if (settings.name.empty() || settings.name.size() > 255)
        return failure(Error::Code::Invalid, "name", "must have 1 to 255 bytes");
    if (settings.sharedKey.empty())
        return failure(Error::Code::Invalid, "sharedKey", "must not be empty");
    auto transport = std::make_unique<TcpPeerTransport>(context, settings, std::move(handlers));
    if (const auto opened = transport->open(); !opened)
        return opened.error();
    return Result<std::unique_ptr<PeerTransport>>(std::move(transport));
}

} // namespace camphorshunt
