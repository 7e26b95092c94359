#include "childprocess.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace camphorshunt::test {

namespace {

[[noreturn]] auto runProgram(const std::string& path, std::vector<char*>& arguments, int output) -> void
{
    // The kernel kills the program if the test process is killed, so that none is left running.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output, STDOUT_FILENO);
    ::execv(path.c_str(), arguments.data());
    ::_exit(127);
}

auto exitCode(int status) -> int { return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status); }

} // namespace

ChildProcess::ChildProcess(std::string_view program, std::span<const std::string> arguments)
{
    const auto path = std::string(CAMPHORSHUNT_BIN) + "/" + std::string(program);
    auto texts = std::vector<std::string> { path };
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    auto pointers = std::vector<char*> {};
    for (auto& text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);

    int ends[2] = { -1, -1 };
    if (::pipe2(ends, O_CLOEXEC) != 0)
        std::abort();
    pid_ = ::fork();
    if (pid_ < 0)
        std::abort();
    if (pid_ == 0)
        runProgram(path, pointers, ends[1]);
    ::close(ends[1]);
    output_ = ends[0];
}

ChildProcess::~ChildProcess()
{
    kill();
    if (reader_.joinable())
        reader_.join();
    ::close(output_);
}

auto ChildProcess::readLine(std::string_view prefix) -> std::string
{
    while (true) {
        const auto end = buffered_.find('\n');
        if (end != std::string::npos) {
            auto line = buffered_.substr(0, end);
            buffered_.erase(0, end + 1);
            if (line.starts_with(prefix))
                return line;
            continue;
        }
        char bytes[4096];
        const auto count = ::read(output_, bytes, sizeof bytes);
        if (count <= 0)
            return {};
        buffered_.append(bytes, static_cast<std::size_t>(count));
    }
}

auto ChildProcess::discardOutput() -> void
{
    reader_ = std::thread([output = output_] {
        char bytes[4096];
        while (::read(output, bytes, sizeof bytes) > 0) { }
    });
}

auto ChildProcess::readAll() -> std::string
{
    char bytes[4096];
    for (auto count = ::read(output_, bytes, sizeof bytes); count > 0;
         count = ::read(output_, bytes, sizeof bytes))
        buffered_.append(bytes, static_cast<std::size_t>(count));
    return std::move(buffered_);
}

auto ChildProcess::signal(int number) -> void
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, number);
    if (number != SIGSTOP)
        return;
    // `kill` returns while threads of the process still run on other cores.
    if (::waitpid(pid_, &status_, WUNTRACED) == pid_ && !WIFSTOPPED(status_))
        pid_ = -1;
}

auto ChildProcess::wait() -> int
{
    if (pid_ > 0) {
        ::waitpid(pid_, &status_, 0);
        pid_ = -1;
    }
    return exitCode(status_);
}

auto ChildProcess::kill() -> void
{
    signal(SIGKILL);
    wait();
}

auto ChildProcess::isRunning() -> bool
{
    if (pid_ <= 0)
        return false;
    if (::waitpid(pid_, &status_, WNOHANG) != pid_)
        return true;
    pid_ = -1;
    return false;
}

auto ChildProcess::peakMemory() const -> std::size_t
{
    auto file = std::ifstream("/proc/" + std::to_string(pid_) + "/status");
    constexpr auto prefix = std::string_view("VmHWM:");
    for (auto line = std::string {}; std::getline(file, line);) {
        if (line.starts_with(prefix))
            return std::strtoull(line.c_str() + prefix.size(), nullptr, 10) * 1024;
    }
    return 0;
}

auto ChildProcess::openDescriptors() const -> std::size_t
{
    const auto folder = std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

} // namespace camphorshunt::test
