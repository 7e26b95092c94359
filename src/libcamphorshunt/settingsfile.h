#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "camphorshunt/result.h"

#include "settingsreader.h"

namespace camphorshunt {

/** The content of the file; empty if it cannot be read. */
auto readFile(const std::filesystem::path& path) -> std::optional<std::string>;

/**
 * Parses JSON with comments and lets `read` make settings of it through a SettingsReader. An error
 * names the file and the field.
 */
template <typename Settings, typename Read>
auto parseSettings(std::string_view text, std::string_view file, Read read) -> Result<Settings>
{
    const auto document = parseSettingsObject(text, file);
    if (!document)
        return document.error();

    auto error = std::optional<Error> {};
    auto reader = SettingsReader(document.value(), {}, error);
    auto settings = read(reader);
    if (error)
        return failure(error->code, std::string(file) + ": " + error->field, std::move(error->message));
    return settings;
}

/** Reads the file and passes its content and name to `parse`. */
template <typename Settings>
auto loadSettings(const std::string& file, Result<Settings> (*parse)(std::string_view, std::string_view))
    -> Result<Settings>
{
    const auto text = readFile(file);
    if (!text)
        return failure(Error::Code::Io, file, "cannot be read");
    return parse(*text, file);
}

} // namespace camphorshunt
