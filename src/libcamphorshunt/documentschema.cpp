#include "documentschema.h"

#include <charconv>
#include <string>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <valijson/adapters/boost_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace camphorshunt {

namespace {

namespace json = boost::json;

/** Longer values are truncated in error messages, in bytes. */
constexpr std::size_t maxShownBytes = 80;

/** The schema as JSON and in the validator's form. Immutable, so threads can share it. */
struct ParsedSchema {
    json::value text = json::parse(documentSchemaText);
    valijson::Schema schema;

    ParsedSchema()
    {
        auto parser = valijson::SchemaParser(valijson::SchemaParser::kDraft4);
        parser.populateSchema(valijson::adapters::BoostJsonAdapter(text), schema);
    }
};

auto parsedSchema() -> const ParsedSchema&
{
    static const auto schema = ParsedSchema();
    return schema;
}

/** A value in a document and the part of the schema that describes it. */
struct Position {
    std::string path;
    const json::value* value;
    const json::value* schema;
};

auto enterItem(Position& position, std::string_view step) -> bool
{
    auto index = std::size_t {};
    const auto [end, code] = std::from_chars(step.data(), step.data() + step.size(), index);
    const auto isIndex = code == std::errc {} && end == step.data() + step.size();
    if (!isIndex || index >= position.value->get_array().size())
        return false;
    position.value = &position.value->get_array()[index];
    position.schema = &position.schema->at("items");
    position.path += "[" + std::string(step) + "]";
    return true;
}

auto enterField(Position& position, std::string_view step) -> bool
{
    const auto* const value = position.value->get_object().if_contains(step);
    const auto* const schema = position.schema->at("properties").as_object().if_contains(step);
    if (value == nullptr || schema == nullptr)
        return false;
    position.value = value;
    position.schema = schema;
    position.path += (position.path.empty() ? "" : ".") + std::string(step);
    return true;
}

/** Resolves the validator's error context, whose steps look like `[organisations]` and `[2]`. */
auto findPosition(const json::value& document, const std::vector<std::string>& context) -> Position
{
    auto position = Position { "", &document, &parsedSchema().text };
    for (const auto& bracketed : context) {
        if (bracketed.size() < 2 || bracketed.front() != '[')
            continue;
        const auto step = std::string_view(bracketed).substr(1, bracketed.size() - 2);
        const auto entered = position.value->is_array() ? enterItem(position, step)
            : position.value->is_object()               ? enterField(position, step)
                                                        : false;
        if (!entered)
            break;
    }
    return position;
}

auto fieldNames(const json::value& schema) -> std::string
{
    auto names = std::string();
    for (const auto& field : schema.at("properties").as_object())
        names += (names.empty() ? "" : ", ") + std::string(field.key());
    return names;
}

auto child(const Position& position, std::string_view field) -> std::string
{
    return position.path + (position.path.empty() ? "" : ".") + std::string(field);
}

/** The error for an unknown or missing field of an object; empty if there is none. */
auto fieldFault(const Position& position) -> std::optional<Error>
{
    const auto& object = position.value->get_object();
    const auto& schema = position.schema->as_object();
    for (const auto& field : object) {
        if (schema.at("properties").as_object().contains(field.key()))
            continue;
        return failure(Error::Code::Invalid, child(position, field.key()),
            "unknown field with value " + shownValue(field.value()) + "; allowed are "
                + fieldNames(*position.schema));
    }
    const auto* const required = schema.if_contains("required");
    if (required == nullptr)
        return std::nullopt;
    for (const auto& name : required->as_array()) {
        if (!object.contains(name.as_string()))
            return failure(Error::Code::Invalid, child(position, name.as_string()), "is missing");
    }
    return std::nullopt;
}

auto describe(const json::value& document, const valijson::ValidationResults::Error& error) -> Error
{
    const auto position = findPosition(document, error.context);
    if (position.value->is_object()) {
        if (auto fault = fieldFault(position))
            return *fault;
    }
    const auto allowed = std::string(position.schema->at("description").as_string());
    return failure(Error::Code::Invalid, position.path.empty() ? "document" : position.path,
        shownValue(*position.value) + " is not allowed; give " + allowed);
}

} // namespace

auto shownValue(const json::value& value) -> std::string
{
    if (value.is_array())
        return "a list of " + std::to_string(value.get_array().size());
    if (value.is_object())
        return "an object";
    auto shown = json::serialize(value);
    if (shown.size() > maxShownBytes)
        shown = shown.substr(0, maxShownBytes) + "...";
    return shown;
}

auto checkDocumentSchema(const json::value& document) -> std::optional<Error>
{
    auto results = valijson::ValidationResults();
    auto validator = valijson::Validator();
    if (validator.validate(parsedSchema().schema, valijson::adapters::BoostJsonAdapter(document), &results))
        return std::nullopt;
    auto error = valijson::ValidationResults::Error();
    results.popError(error);
    return describe(document, error);
}

} // namespace camphorshunt
