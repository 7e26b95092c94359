#include "eventstream.h"

namespace camphorshunt {

auto eventFields(std::string_view event) -> EventFields
{
    auto fields = EventFields {};
    while (!event.empty()) {
        const auto lineEnd = event.find('\n');
        auto line = event.substr(0, lineEnd);
        event.remove_prefix(lineEnd == std::string_view::npos ? event.size() : lineEnd + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            continue;
        const auto name = line.substr(0, colon);
        auto value = line.substr(colon + 1);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        if (name == "id")
            fields.id = value;
        else if (name == "event")
            fields.name = value;
        else if (name == "data")
            fields.data = value;
    }
    return fields;
}

auto eventEnd(std::string_view bytes, std::size_t from) -> std::size_t
{
    for (auto newline = bytes.find('\n', from); newline != std::string_view::npos;
         newline = bytes.find('\n', newline + 1)) {
        const auto rest = bytes.substr(newline + 1);
        if (rest.starts_with('\n'))
            return newline + 2;
        if (rest.starts_with("\r\n"))
            return newline + 3;
    }
    return std::string_view::npos;
}

} // namespace camphorshunt
