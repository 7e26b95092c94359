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
    /** The fleet or the platform refused, or did not answer. */
    Failed = 1,
    /** Wrong use or invalid input; nothing was changed. */
    Invalid = 2,
    /** Another edit was first. */
    Conflict = 3,
};

/** One command of the tool. */
struct Command {
    std::string_view name;
    std::string_view usage;
    std::string_view summary;
    std::function<ExitCode(std::span<const std::string> arguments)> run;
};

/** All commands, in the order of the help text. */
auto commands() -> std::span<const Command>;

/** Prints `error: message` on standard error and returns `code`. */
auto fail(ExitCode code, std::string_view message) -> ExitCode;

} // namespace camphorshunt::ctl
