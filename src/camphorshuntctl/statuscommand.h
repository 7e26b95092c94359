#pragma once

#include <span>
#include <string>

#include "command.h"

namespace camphorshunt::ctl {

/** Shows what the daemons named by --admin say of themselves. */
auto runStatus(std::span<const std::string> arguments) -> ExitCode;

} // namespace camphorshunt::ctl
