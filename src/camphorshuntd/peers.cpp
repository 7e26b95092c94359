#include "peers.h"

#include "log.h"

namespace camphorshunt {

auto Peers::listen(boost::asio::io_context& context, const PeerTransport::Settings& settings,
    Ring<Event>& toScheduler, Ring<SchedulerToPeers>& fromScheduler) -> Result<std::unique_ptr<Peers>>
{
    auto handlers = PeerTransport::Handlers {};
    handlers.onConnected = [&toScheduler](RouterId router, Incarnation incarnation) {
        toScheduler.push(PeerConnected { router, incarnation });
    };
    handlers.onDisconnected
        = [&toScheduler](RouterId router) { toScheduler.push(PeerDisconnected { router }); };
    handlers.onMessage = [&toScheduler](RouterId router, PeerMessage message) {
        toScheduler.push(PeerReceived { router, std::move(message) });
    };
    handlers.onLog = [](LogLevel level, const std::string& event, const std::vector<LogField>& fields) {
        writeLog(level, event, fields);
    };

    auto transport = PeerTransport::listen(context, settings, std::move(handlers));
    if (transport.has_error())
        return transport.error();
    auto peers = std::unique_ptr<Peers>(new Peers());
    peers->transport_ = std::move(transport.value());
    fromScheduler.onItem([self = peers.get()](SchedulerToPeers message) {
        std::visit(
            Overloaded {
                [self](const KeepPeer& keep) { self->transport_->keepConnected(keep.router, keep.endpoint); },
                [self](const SendPeer& send) { self->transport_->send(send.router, send.message); },
            },
            message);
    });
    return peers;
}

} // namespace camphorshunt
