#pragma once

#include <string_view>

#include <boost/json/value.hpp>

#include "camphorshunt/result.h"

namespace camphorshunt {

/** Parses JSON with comments and trailing commas; the error's field is the line. */
auto parseCommentedJson(std::string_view text) -> Result<boost::json::value>;

} // namespace camphorshunt
