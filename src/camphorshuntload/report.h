#pragma once

#include <span>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "loadrun.h"

namespace camphorshunt::load {

/** Returns the measurements of a run as JSON; `name` is the name of the run in tables. */
auto reportJson(std::string_view name, const Plan& plan, const LoadRun& run) -> boost::json::object;

/** Returns a Markdown table with one row per report; ratios refer to the report named `base`, if present. */
auto reportTable(std::span<const boost::json::object> reports, std::string_view base) -> std::string;

} // namespace camphorshunt::load
