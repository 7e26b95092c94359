#pragma once

#include <optional>

#include "httptypes.h"

namespace camphorshunt::net {

/** How the body of an answer is delimited, and whether the connection stays open. */
struct HttpBodyFraming {
    /** Empty for a streamed body and for a status without a body. */
    std::optional<std::size_t> contentLength;
    bool chunked = false;
    bool keepAlive = false;
};

/**
 * Status line and header fields of an answer, including the empty line at their end. Omits framing fields
 * (Content-Length, Transfer-Encoding, Connection) in `headers` and fields that contain a line break.
 */
auto responseHeadText(std::uint16_t status, const HttpHeaders& headers, const HttpBodyFraming& framing)
    -> std::string;

/** One chunk in chunked coding (RFC 9112, section 7.1). */
auto chunkText(std::string_view payload) -> std::string;

inline constexpr std::string_view finalChunkText = "0\r\n\r\n";

/** 1xx, 204 and 304 never have a body. */
auto statusHasBody(std::uint16_t status) -> bool;

} // namespace camphorshunt::net
