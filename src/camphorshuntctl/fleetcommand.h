#pragma once

#include <span>
#include <string>

#include "command.h"

namespace camphorshunt::ctl {

/**
 * Prints the fleet as the routers at the given metrics addresses see it; fails if one of them gives no view.
 */
auto runFleet(std::span<const std::string> arguments) -> ExitCode;

} // namespace camphorshunt::ctl
