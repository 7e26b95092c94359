#pragma once

#include <string_view>

#include <boost/json/value.hpp>

#include "camphorshunt/result.h"

namespace camphorshunt {

/** Maximum size of a document, in bytes. Encoded as a record it must fit into one frame between routers. */
inline constexpr std::size_t maxDocumentBytes = std::size_t { 4 } * 1024 * 1024;

/** Parses JSON with comments and trailing commas. Texts above the maximum are refused; syntax errors name the
 * line. */
auto parseDocumentJson(std::string_view text) -> Result<boost::json::value>;

/** Applies a JSON merge patch (RFC 7396) to `target`. */
auto applyMergePatch(boost::json::value& target, const boost::json::value& patch) -> void;

} // namespace camphorshunt
