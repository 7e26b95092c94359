#pragma once

#include <span>
#include <string>

#include "command.h"

namespace camphorshunt::ctl {

/** Replays a trace that a daemon recorded with --record and prints the first difference. */
auto runReplay(std::span<const std::string> arguments) -> ExitCode;

} // namespace camphorshunt::ctl
