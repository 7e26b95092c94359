#include "command.h"

#include <array>
#include <iostream>

#include "documentcommands.h"
#include "fleetcommand.h"
#include "replaycommand.h"
#include "statuscommand.h"

namespace camphorshunt::ctl {

auto commands() -> std::span<const Command>
{
    static const auto all = std::array {
        Command { "validate", "validate FILE...",
            "Check document files locally, without connecting to the fleet.", runValidate },
        Command { "publish",
            "publish FILE --log=IP:PORT [--base=VERSION] [--edit_id=ID] [--admin=IP:PORT,...]",
            "Append an edit to the log, report whether it was accepted, and wait until it is in force. "
            "Example: camphorshuntctl publish "
            "samples/demo-assistant.json --log=127.0.0.1:7300 --admin=127.0.0.1:7201",
            runPublish },
        Command { "show", "show SERVICE --log=IP:PORT",
            "Print the document that is in force according to the log.", runShow },
        Command { "history", "history SERVICE --log=IP:PORT",
            "Print the recent edits of a service, each with its version or refusal.", runHistory },
        Command { "status", "status --admin=IP:PORT,... [--json]",
            "Print the state of daemons: duties, versions in force, queues by organisation, and slots.",
            runStatus },
        Command { "fleet", "fleet IP:PORT... [--json]",
            "Print the fleet as routers see it, given the addresses of their metrics: hubs, holders of "
            "roles, "
            "links, and what needs attention. Example: camphorshuntctl fleet 10.0.0.1:9100 10.0.0.2:9100",
            runFleet },
        Command { "replay", "replay TRACE",
            "Feed a daemon's record (camphorshuntd --record=FILE) to the core and compare the actions; exits "
            "with code 1 and prints the first difference if they differ. Example: camphorshuntctl replay "
            "tests/traces/streamed.jsonl",
            runReplay },
    };
    return all;
}

auto fail(ExitCode code, std::string_view message) -> ExitCode
{
    std::cerr << "error: " << message << '\n';
    return code;
}

} // namespace camphorshunt::ctl
