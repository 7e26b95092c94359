#pragma once

#include <span>
#include <string>

#include "command.h"

namespace camphorshunt::ctl {

/** Prints the status of the daemons of --admin; fails if one of them does not answer. */
auto runStatus(std::span<const std::string> arguments) -> ExitCode;

} // namespace camphorshunt::ctl
