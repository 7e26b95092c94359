#include "documentjson.h"

#include "commentedjson.h"

namespace camphorshunt {

namespace json = boost::json;

auto parseDocumentJson(std::string_view text) -> Result<json::value>
{
    if (text.size() > maxDocumentBytes)
        return failure(Error::Code::Invalid, "document",
            std::to_string(text.size()) + " bytes are not allowed; give at most "
                + std::to_string(maxDocumentBytes));
    auto value = parseCommentedJson(text);
    if (!value)
        return failure(
            Error::Code::Invalid, "document", value.error().field + " is no JSON: " + value.error().message);
    return value;
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
