#pragma once

#include <span>
#include <string>

#include "command.h"

namespace camphorshunt::ctl {

/** Checks document files locally, without connecting to the fleet. */
auto runValidate(std::span<const std::string> arguments) -> ExitCode;

/**
 * Appends an edit to the log, reports whether it was accepted, and waits up to --wait_s until it is in force
 * on the daemons of --admin. An edit whose id is among the latest on the log is not appended again.
 */
auto runPublish(std::span<const std::string> arguments) -> ExitCode;

/** Prints the document in force according to the log. */
auto runShow(std::span<const std::string> arguments) -> ExitCode;

/** Prints the latest edits of a service that the log retains, each with its version or refusal. */
auto runHistory(std::span<const std::string> arguments) -> ExitCode;

} // namespace camphorshunt::ctl
