#pragma once

#include <cstdint>
#include <string_view>

namespace camphorshunt::router {

/** How the end of an upstream's answer was determined. */
enum class AnswerEnd : std::uint8_t {
    /** By its length or its last chunk. */
    Framed,
    /** The answer has no framing of its own, and the upstream closed the connection. */
    Connection,
    /** The connection broke, or what came is not a valid answer. */
    Broken,
};

/** As it stands in the log. */
auto answerEndName(AnswerEnd end) -> std::string_view;

} // namespace camphorshunt::router
