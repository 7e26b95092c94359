#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "camphorshunt/result.h"

#include "settingsreader.h"

namespace camphorshunt::load {

/** The file's bytes. */
auto readPlanFile(const std::string& file) -> Result<std::string>;

/** Reads a plan with `read`; an error names the file and the field. */
template <typename Plan, typename Read>
auto parsePlan(std::string_view text, std::string_view file, Read read) -> Result<Plan>
{
    const auto document = parseSettingsObject(text, file);
    if (!document)
        return document.error();

    auto error = std::optional<Error> {};
    auto reader = SettingsReader(document.value(), {}, error);
    auto plan = read(reader);
    if (error)
        return failure(error->code, std::string(file) + ": " + error->field, std::move(error->message));
    return plan;
}

template <typename Plan, typename Read> auto loadPlan(const std::string& file, Read read) -> Result<Plan>
{
    const auto text = readPlanFile(file);
    if (!text)
        return text.error();
    return parsePlan<Plan>(text.value(), file, read);
}

} // namespace camphorshunt::load
