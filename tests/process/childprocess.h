#pragma once

#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace camphorshunt::test {

/** One of the project's programs, started by a test and ended by its process id. */
class ChildProcess {
public:
    /** Starts `program` from the build folder; its standard error goes to the test's. */
    ChildProcess(std::string_view program, std::span<const std::string> arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    auto operator=(const ChildProcess&) -> ChildProcess& = delete;

    /** Reads standard output up to the line that begins with `prefix`; empty if the program ends before. */
    auto readLine(std::string_view prefix) -> std::string;
    /** Reads on without keeping it, so that a program that goes on writing never waits for its reader. */
    auto discardOutput() -> void;
    auto signal(int number) const -> void;
    /** Waits for the end; the exit code, or 128 + the signal's number. */
    auto wait() -> int;
    /** SIGKILL and wait. */
    auto kill() -> void;
    auto isRunning() -> bool;
    /** All that is left on standard output, until the program ends. */
    auto readAll() -> std::string;

private:
    pid_t pid_ = -1;
    int output_ = -1;
    int status_ = 0;
    std::string buffered_;
    std::thread reader_;
};

} // namespace camphorshunt::test
