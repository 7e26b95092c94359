#include "documentjson.h"

#include <algorithm>

#include <boost/json/parser.hpp>

namespace camphorshunt {

namespace json = boost::json;

auto parseDocumentJson(std::string_view text) -> Result<json::value>
{
    if (text.size() > longestDocument)
        return failure(Error::Code::Invalid, "document",
            std::to_string(text.size()) + " bytes are not allowed; give at most "
                + std::to_string(longestDocument));
    auto options = json::parse_options();
    options.allow_comments = true;
    auto parser = json::parser({}, options);
    auto error = json::error_code();
    // A text that ends where a comment begins makes Boost.JSON 1.81 tell of more than it was given.
    const auto read = std::min(parser.write_some(text, error), text.size());
    if (!error && read == text.size())
        return parser.release();
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(read), '\n');
    return failure(Error::Code::Invalid, "document",
        "line " + std::to_string(line) + " is no JSON: " + (error ? error.message() : "text after the end"));
}

auto applyMergePatch(json::value& target, const json::value& patch) -> void
{
    if (!patch.is_object()) {
        target = patch;
        return;
    }
    if (!target.is_object())
        target.emplace_object();
    auto& object = target.get_object();
    for (const auto& field : patch.get_object()) {
        if (field.value().is_null())
            object.erase(field.key());
        else
            applyMergePatch(object[field.key()], field.value());
    }
}

} // namespace camphorshunt
