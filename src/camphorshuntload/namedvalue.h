#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "settingsreader.h"

namespace camphorshunt::load {

/** Maps an optional text field to its value; a missing field maps to the first value. */
template <typename Value>
auto readName(SettingsReader& reader, std::string_view name,
    const std::vector<std::pair<std::string_view, Value>>& values) -> Value
{
    const auto text = reader.optionalText(name);
    if (text.empty())
        return values.front().second;
    auto allowed = std::string {};
    for (const auto& [known, value] : values) {
        if (known == text)
            return value;
        allowed += (allowed.empty() ? "" : ", ") + std::string(known);
    }
    reader.refuse(name, "must be one of " + allowed);
    return values.front().second;
}

} // namespace camphorshunt::load
