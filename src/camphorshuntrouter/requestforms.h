#pragma once

#include <string>

#include "camphorshunt/routetable.h"
#include "camphorshunt/upstreamentry.h"

#include "callerconnection.h"
#include "peerframe.h"

#include "platform/callerwire.h"
#include "platform/enginewire.h"

namespace camphorshunt::router {

/** A caller's request with what the configuration says of it; all of it outlives the forms made from it. */
struct RoutedRequest {
    const CallerConnection::Request& message;
    const platform::CallerRequest& caller;
    const Route& route;
    /** Null on open routes. */
    const KeyHolder* organisation = nullptr;
    ServiceId service;
};

/** Asks a placer for an engine; number, times and what to avoid are still to be set. */
auto makePlacementRequest(const RoutedRequest& request) -> PeerPlace;

/** The bytes that an upstream gets. `copyFrom` may be null, `resumeAfter` empty. */
auto serializeForUpstream(const RoutedRequest& request, const UpstreamEntry& upstream,
    const UpstreamEntry* copyFrom, std::chrono::milliseconds timeLeft, std::string_view resumeAfter)
    -> std::string;

} // namespace camphorshunt::router
