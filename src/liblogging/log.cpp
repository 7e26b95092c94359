#include "log.h"

#include <mutex>
#include <string>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace camphorshunt {

namespace {

auto easyLevel(LogLevel level) -> el::Level
{
    switch (level) {
    case LogLevel::Debug:
        return el::Level::Debug;
    case LogLevel::Info:
        return el::Level::Info;
    case LogLevel::Warning:
        return el::Level::Warning;
    case LogLevel::Error:
        return el::Level::Error;
    }
    return el::Level::Info;
}

auto isPlain(char character) -> bool
{
    return character > ' ' && character != '"' && character != '\\' && character != '=' && character != 0x7f;
}

auto appendValue(std::string& line, std::string_view value) -> void
{
    if (!value.empty() && std::ranges::all_of(value, isPlain)) {
        line += value;
        return;
    }
    line += '"';
    for (const auto character : value) {
        if (character == '"' || character == '\\')
            line += '\\';
        line += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
    }
    line += '"';
}

auto writeLine(LogLevel level, std::string_view line) -> void
{
    el::base::Writer(easyLevel(level), __FILE__, __LINE__, ELPP_FUNC).construct(1, "default")
        << std::string(line);
}

auto admitLine(std::string_view event, std::uint64_t maxLinesPerSecond) -> LogLimiter::Decision
{
    static auto mutex = std::mutex {};
    static auto limiter = LogLimiter {};
    const auto lock = std::scoped_lock(mutex);
    return limiter.admit(std::chrono::steady_clock::now(), event, maxLinesPerSecond);
}

auto disableBelow(el::Configurations& configuration, LogLevel level) -> void
{
    for (const auto candidate : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        if (candidate < level)
            configuration.set(easyLevel(candidate), el::ConfigurationType::Enabled, "false");
    }
}

} // namespace

auto startLogging(std::string_view program, LogLevel level) -> void
{
    auto configuration = el::Configurations {};
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
        "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level program=" + std::string(program) + " %msg");
    disableBelow(configuration, level);
    el::Loggers::reconfigureLogger("default", configuration);
}

auto writeLog(LogLevel level, std::string_view event, std::span<const LogField> fields,
    std::uint64_t maxLinesPerSecond) -> void
{
    const auto decision = admitLine(event, maxLinesPerSecond);
    if (decision.suppressedLines > 0)
        writeLine(LogLevel::Warning,
            "event=log-limited of=" + std::string(event)
                + " left-out=" + std::to_string(decision.suppressedLines));
    if (!decision.write)
        return;
    auto line = "event=" + std::string(event);
    for (const auto& field : fields) {
        line += ' ' + field.name + '=';
        appendValue(line, field.value);
    }
    writeLine(level, line);
}

} // namespace camphorshunt
