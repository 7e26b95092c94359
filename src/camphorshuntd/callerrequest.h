#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "camphorshunt/event.h"

#include "httptypes.h"
#include "messages.h"

namespace camphorshunt {

/** A caller's request that passed the checks which do not need the configuration document. */
struct CallerRequest {
    RequestArrived arrived;
    NewBody body;
};

/** Why a request is answered without being queued. */
struct CallerRefusal {
    std::uint16_t status {};
    std::string reason;
};

/** Parses path and headers as specified in docs/design/interfaces.md; moves the body out of `request`. */
auto readCallerRequest(RequestId id, net::HttpRequest& request) -> std::variant<CallerRequest, CallerRefusal>;

/** The id as 16 hex digits. */
auto requestIdText(RequestId id) -> std::string;

/** Headers of every answer to a caller; an empty `contentType` is left out. */
auto answerHeaders(RequestId id, std::string_view outcome, std::string_view contentType) -> net::HttpHeaders;

/** `{"outcome":...,"reason":...,"requestId":...}`. */
auto refusalBody(RequestId id, std::string_view outcome, std::string_view reason) -> std::string;

} // namespace camphorshunt
