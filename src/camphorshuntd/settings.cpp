#include "settings.h"

#include <filesystem>

#include "settingsfile.h"

namespace camphorshunt {

namespace {

constexpr auto minSharedKeyLength = std::size_t { 16 };
constexpr auto minTimeoutMs = std::uint64_t { 10 };
constexpr auto maxTimeoutMs = std::uint64_t { 3'600'000 };
constexpr auto kibibyte = std::uint64_t { 1024 };
constexpr auto mebibyte = 1024 * kibibyte;

auto readCallers(SettingsReader reader, Settings& settings) -> void
{
    auto& limits = settings.callersLimits;
    settings.callersListen = reader.endpoint("listen");
    limits.connections = reader.number("maxConnections", limits.connections, 1, 100'000);
    limits.headerBytes = reader.number("headerBytes", limits.headerBytes, kibibyte, mebibyte);
    limits.bodyBytes = reader.number("bodyBytes", limits.bodyBytes, kibibyte, 64 * mebibyte);
    limits.requestTimeout
        = reader.milliseconds("requestTimeoutMs", limits.requestTimeout, minTimeoutMs, maxTimeoutMs);
    limits.idleTimeout = reader.milliseconds("idleTimeoutMs", limits.idleTimeout, minTimeoutMs, maxTimeoutMs);
    limits.writeTimeout
        = reader.milliseconds("writeTimeoutMs", limits.writeTimeout, minTimeoutMs, maxTimeoutMs);
    reader.finish();
}

/** Reads the key itself, or a file relative to the settings; the key must not appear in error messages. */
auto readSharedKey(SettingsReader& reader, const std::filesystem::path& folder) -> std::string
{
    const auto file = reader.optionalText("sharedKeyFile");
    auto key = reader.optionalText("sharedKey");
    if (file.empty() == key.empty())
        reader.refuse("sharedKey", "set exactly one of the two: sharedKey or sharedKeyFile");
    if (!file.empty()) {
        auto content = readFile(folder / file);
        if (!content)
            reader.refuse("sharedKeyFile", "cannot be read");
        key = content.value_or("");
        while (key.ends_with('\n') || key.ends_with('\r'))
            key.pop_back();
    }
    if (key.size() < minSharedKeyLength)
        reader.refuse(file.empty() ? "sharedKey" : "sharedKeyFile", "must hold at least 16 characters");
    return key;
}

auto readPeers(SettingsReader reader, const std::filesystem::path& folder, Settings& settings) -> void
{
    settings.peersListen = reader.endpoint("listen");
    settings.sharedKey = readSharedKey(reader, folder);
    reader.finish();
}

auto readPlatform(SettingsReader reader, Settings& settings) -> void
{
    settings.platformLog = reader.endpoint("log");
    settings.platformVms = reader.endpoint("vms");
    reader.finish();
}

auto readBoundedFile(SettingsReader reader, std::string& file, std::uint64_t& limitBytes) -> void
{
    file = reader.optionalText("file");
    limitBytes = reader.number("limitBytes", limitBytes, kibibyte, 16 * kibibyte * mebibyte);
    reader.finish();
}

} // namespace

auto Settings::parse(std::string_view text, std::string_view file) -> Result<Settings>
{
    const auto folder = std::filesystem::path(file).parent_path();
    return parseSettings<Settings>(text, file, [&folder](SettingsReader& reader) {
        auto settings = Settings {};
        settings.name = reader.text("name");
        settings.failureDomain = reader.text("failureDomain");
        readCallers(reader.object("callers"), settings);
        auto admin = reader.object("admin");
        settings.adminListen = admin.endpoint("listen");
        admin.finish();
        readPeers(reader.object("peers"), folder, settings);
        readPlatform(reader.object("platform"), settings);
        readBoundedFile(reader.optionalObject("record"), settings.recordFile, settings.recordLimitBytes);
        readBoundedFile(reader.optionalObject("trace"), settings.traceFile, settings.traceLimitBytes);
        reader.finish();
        return settings;
    });
}

auto Settings::load(const std::string& file) -> Result<Settings> { return loadSettings(file, parse); }

} // namespace camphorshunt
