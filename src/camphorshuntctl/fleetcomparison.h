#pragma once

#include <span>
#include <string>
#include <vector>

#include "routerview.h"

namespace camphorshunt::ctl {

/**
 * What needs an operator's attention in the views of one or several routers, one line each: routers without
 * an answer, roles on which the views differ, older configurations, links without heartbeats, no store.
 */
auto fleetDifferences(std::span<const RouterView> views) -> std::vector<std::string>;

} // namespace camphorshunt::ctl
