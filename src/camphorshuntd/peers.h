#pragma once

#include <memory>

#include "messages.h"
#include "peertransport.h"

namespace camphorshunt {

/** Transports messages between the core and the other routers, on the peers thread. */
class Peers {
public:
    static auto listen(boost::asio::io_context& context, const PeerTransport::Settings& settings,
        Ring<Event>& toScheduler, Ring<SchedulerToPeers>& fromScheduler) -> Result<std::unique_ptr<Peers>>;

    auto endpoint() const -> Endpoint { return transport_->endpoint(); }
    auto traffic() const -> PeerTransport::Traffic { return transport_->traffic(); }

private:
    Peers() = default;

    std::unique_ptr<PeerTransport> transport_;
};

} // namespace camphorshunt
