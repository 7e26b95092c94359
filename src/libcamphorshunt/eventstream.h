#pragma once

#include <cstddef>
#include <string_view>

namespace camphorshunt {

/** The fields of one server-sent event (WHATWG HTML, `text/event-stream`), as views into its bytes. */
struct EventFields {
    std::string_view id;
    std::string_view name;
    std::string_view data;
};

/** Parses one complete event; of a repeated field the last one counts. */
auto eventFields(std::string_view event) -> EventFields;

/** Position after the empty line that ends the first event after position `from`, or npos if it is
 * incomplete. */
auto eventEnd(std::string_view bytes, std::size_t from) -> std::size_t;

} // namespace camphorshunt
