#pragma once

#include <cstdint>

#include <boost/beast/http/message.hpp>

namespace camphorshunt::net {

/** What the head of a response announces. */
enum class HttpResponseKind : std::uint8_t {
    Answer,
    /** Has no body, and the answer follows on the same connection. */
    Interim,
    /** The status is outside 100 to 599, or accepts an upgrade, for which no request here asks. */
    InvalidStatus,
    /** The body has a transfer coding other than `chunked`, so that its extent or its bytes are unknown. */
    UnknownCoding,
};

/** Decides by the rules of RFC 9110, section 15, and RFC 9112, sections 6 and 7. */
auto kindOf(const boost::beast::http::response_header<>& head) -> HttpResponseKind;

} // namespace camphorshunt::net
