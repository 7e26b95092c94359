#pragma once

#include <span>
#include <string>

#include "routerview.h"

namespace camphorshunt::ctl {

/**
 * The fleet as plain text: the routers that answered, the holders of roles, the links if there is one view
 * only, and what needs attention.
 */
auto fleetTable(std::span<const RouterView> views) -> std::string;

/** The views and what needs attention, as one JSON object. */
auto fleetJson(std::span<const RouterView> views) -> std::string;

} // namespace camphorshunt::ctl
