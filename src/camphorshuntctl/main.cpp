#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "command.h"

namespace {

using namespace camphorshunt::ctl;

auto helpText() -> std::string
{
    auto text = std::string(
        "Operates a camphorshunt fleet.\n\nUsage: camphorshuntctl COMMAND [ARGUMENTS] [FLAGS]\n\n");
    for (const auto& command : commands())
        text += "  " + std::string(command.usage) + "\n      " + std::string(command.summary) + "\n";
    text += "\nExit codes: 0 success, 1 failure or no answer, 2 wrong arguments or invalid input, 3 the "
            "edit was refused, for example because another edit took precedence.\n";
    return text;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    absl::SetProgramUsageMessage(helpText());
    const auto positional = absl::ParseCommandLine(argc, argv);
    const auto arguments = std::vector<std::string>(positional.begin() + 1, positional.end());
    if (arguments.empty() || arguments.front() == "help") {
        std::cout << helpText();
        return static_cast<int>(arguments.empty() ? ExitCode::Invalid : ExitCode::Success);
    }
    for (const auto& command : commands()) {
        if (command.name == arguments.front())
            return static_cast<int>(command.run(std::span(arguments).subspan(1)));
    }
    return static_cast<int>(
        fail(ExitCode::Invalid, "'" + arguments.front() + "' is not a command; see camphorshuntctl help"));
}
