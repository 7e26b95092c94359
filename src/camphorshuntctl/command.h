#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace camphorshunt::ctl {

/** Exit codes of the tool. */
enum class ExitCode : int {
    Success = 0,
    /** The fleet or the platform refused or did not answer, or a replay differs. */
    Failed = 1,
    /** Wrong arguments or invalid input; nothing was changed. */
    Invalid = 2,
    /** The edit is on the log but was refused, for example because another edit took precedence. */
    Conflict = 3,
};

struct Command {
    std::string_view name;
    std::string_view usage;
    std::string_view summary;
    std::function<ExitCode(std::span<const std::string> arguments)> run;
};

/** All commands, in the order in which the help text lists them. */
auto commands() -> std::span<const Command>;

/** Prints `error: message` on standard error and returns `code`. */
auto fail(ExitCode code, std::string_view message) -> ExitCode;

} // namespace camphorshunt::ctl
