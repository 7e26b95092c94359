#pragma once

#include <span>
#include <string>

#include "command.h"

namespace camphorshunt::ctl {

/** Replays what a daemon recorded with --record and tells the first difference. */
auto runReplay(std::span<const std::string> arguments) -> ExitCode;

} // namespace camphorshunt::ctl
