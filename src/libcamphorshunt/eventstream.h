#pragma once

#include <cstddef>
#include <string_view>

namespace camphorshunt {

/** The fields of one event of a `text/event-stream` (WHATWG HTML, server-sent events); views into it. */
struct EventFields {
    std::string_view id;
    std::string_view name;
    std::string_view data;
};

auto eventFields(std::string_view event) -> EventFields;

/** Position after the empty line that ends the first event, or npos. */
auto eventEnd(std::string_view bytes, std::size_t from) -> std::size_t;

} // namespace camphorshunt
