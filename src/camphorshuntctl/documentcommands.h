#pragma once

#include <span>
#include <string>

#include "command.h"

namespace camphorshunt::ctl {

/** Checks document files without touching the fleet. */
auto runValidate(std::span<const std::string> arguments) -> ExitCode;

/** Appends an edit, tells who won, and waits until it is in force on the daemons of --admin. */
auto runPublish(std::span<const std::string> arguments) -> ExitCode;

/** Prints the document in force according to the log. */
auto runShow(std::span<const std::string> arguments) -> ExitCode;

/** Prints the edits of a service that the log still keeps, and what became of each. */
auto runHistory(std::span<const std::string> arguments) -> ExitCode;

} // namespace camphorshunt::ctl
