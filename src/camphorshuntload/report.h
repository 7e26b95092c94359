#pragma once

#include <span>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "loadrun.h"

namespace camphorshunt::load {

/** The figures of a run as JSON; `name` is how a table calls the run. */
auto reportJson(std::string_view name, const Plan& plan, const LoadRun& run) -> boost::json::object;

/** One row for each report; ratios are to the report called `base`, if there is one. */
auto reportTable(std::span<const boost::json::object> reports, std::string_view base) -> std::string;

} // namespace camphorshunt::load
