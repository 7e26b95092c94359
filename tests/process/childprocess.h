#pragma once

#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace camphorshunt::test {

/** One of the project's programs as a child process, which the destructor kills. */
class ChildProcess {
public:
    /** Starts `program` from the build folder. It inherits the test's standard error. */
    ChildProcess(std::string_view program, std::span<const std::string> arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    auto operator=(const ChildProcess&) -> ChildProcess& = delete;

    /** Reads output lines until one begins with `prefix` and returns it; empty if the program ends before. */
    auto readLine(std::string_view prefix) -> std::string;
    /** Discards further output on a separate thread, so that the program never blocks on a full pipe. */
    auto discardOutput() -> void;
    /** With SIGSTOP, returns when all threads of the process have stopped. */
    auto signal(int number) -> void;
    /** Waits for the process to end. Returns its exit code, or 128 + the number of the fatal signal. */
    auto wait() -> int;
    /** Sends SIGKILL and waits for the process to end. */
    auto kill() -> void;
    auto isRunning() -> bool;
    /** The most memory that the process has had resident, in bytes. */
    auto peakMemory() const -> std::size_t;
    auto openDescriptors() const -> std::size_t;
    /** Reads and returns the remaining standard output; blocks until the program closes it. */
    auto readAll() -> std::string;

private:
    pid_t pid_ = -1;
    int output_ = -1;
    int status_ = 0;
    std::string buffered_;
    std::thread reader_;
};

} // namespace camphorshunt::test
