#include "replaycommand.h"

#include <fstream>
#include <iostream>

#include "tracereplay.h"

namespace camphorshunt::ctl {

auto runReplay(std::span<const std::string> arguments) -> ExitCode
{
    if (arguments.size() != 1)
        return fail(ExitCode::Invalid, "expected exactly one file: camphorshuntctl replay TRACE");
    const auto& path = arguments.front();
    auto trace = std::ifstream(path, std::ios::binary);
    if (!trace)
        return fail(ExitCode::Invalid, path + ": the file cannot be read");
    const auto summary = replayTrace(trace);
    if (!summary) {
        const auto code
            = summary.error().code == Error::Code::Malformed ? ExitCode::Invalid : ExitCode::Failed;
        return fail(code, path + ": " + summary.error().text());
    }
    std::cout << path << ": " << summary.value().steps << " steps and " << summary.value().requests
              << " requests replayed alike, " << summary.value().expectedOutcomes
              << " stated outcomes hold\n";
    return ExitCode::Success;
}

} // namespace camphorshunt::ctl
