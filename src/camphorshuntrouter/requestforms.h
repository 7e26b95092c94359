#pragma once

#include <string>

#include "camphorshunt/routetable.h"
#include "camphorshunt/upstreamentry.h"

#include "callerconnection.h"
#include "peerframe.h"

#include "platform/callerwire.h"
#include "platform/enginewire.h"

namespace camphorshunt::router {

/** A caller's request and its part of the configuration. It must outlive the messages made from it. */
struct RoutedRequest {
    const CallerConnection::Request& message;
    const platform::CallerRequest& caller;
    const Route& route;
    /** Null on open routes. */
    const KeyHolder* organisation = nullptr;
    ServiceId service;
};

/** Request for an engine. The caller still sets number, failure domain, times and the upstreams to avoid. */
auto makePlacementRequest(const RoutedRequest& request) -> PeerPlacementRequest;

/**
 * The request as sent to an upstream. `copyFrom`: an engine that has more of the prompt cached; may be null.
 * `resumeAfter`: id of the last event that the caller has; empty unless a stream is resumed.
 */
auto serializeForUpstream(const RoutedRequest& request, const UpstreamEntry& upstream,
    const UpstreamEntry* copyFrom, std::chrono::milliseconds timeLeft, std::string_view resumeAfter)
    -> std::string;

} // namespace camphorshunt::router
