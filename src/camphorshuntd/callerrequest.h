#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "camphorshunt/event.h"

#include "httptypes.h"
#include "messages.h"

namespace camphorshunt {

/** A caller's request, checked as far as the document is not needed for it. */
struct CallerRequest {
    RequestArrived arrived;
    NewBody body;
};

/** Why a request is answered without being queued. */
struct CallerRefusal {
    std::uint16_t status {};
    std::string reason;
};

/** Reads path and headers as docs/design/interfaces.md has them; takes the body out of `request`. */
auto readCallerRequest(RequestId id, net::HttpRequest& request) -> std::variant<CallerRequest, CallerRefusal>;

/** 16 hex digits. */
auto requestIdText(RequestId id) -> std::string;

/** Headers that every answer to a caller has. */
auto answerHeaders(RequestId id, std::string_view outcome, std::string_view contentType) -> net::HttpHeaders;

/** `{"outcome":...,"reason":...,"requestId":...}`. */
auto refusalBody(RequestId id, std::string_view outcome, std::string_view reason) -> std::string;

} // namespace camphorshunt
