#pragma once

#include <string_view>

#include <boost/json/value.hpp>

#include "camphorshunt/result.h"

namespace camphorshunt {

/** Parses JSON with comments and trailing commas. The `field` of an error is the line, as in `line 3`. */
auto parseCommentedJson(std::string_view text) -> Result<boost::json::value>;

} // namespace camphorshunt
