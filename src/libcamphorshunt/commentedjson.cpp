#include "commentedjson.h"

#include <algorithm>

#include <boost/json/parser.hpp>

namespace camphorshunt {

namespace json = boost::json;

auto parseCommentedJson(std::string_view text) -> Result<json::value>
{
    auto options = json::parse_options();
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    auto parser = json::parser({}, options);
    auto error = json::error_code();
    // Boost.JSON 1.81 returns more bytes than the input has if the input ends at the start of a comment.
    const auto read = std::min(parser.write_some(text, error), text.size());
    if (!error && read == text.size())
        return parser.release();
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(read), '\n');
    return failure(Error::Code::Malformed, "line " + std::to_string(line),
        error ? error.message() : "text after the end");
}

} // namespace camphorshunt
