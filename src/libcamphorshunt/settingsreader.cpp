#include "settingsreader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include <boost/json/value.hpp>

#include "commentedjson.h"

namespace camphorshunt {

namespace {

auto emptyObject() -> const boost::json::object&
{
    static const auto empty = boost::json::object {};
    return empty;
}

auto joined(const std::vector<std::string>& names) -> std::string
{
    auto result = std::string {};
    for (const auto& name : names)
        result += (result.empty() ? "" : ", ") + name;
    return result;
}

} // namespace

auto parseSettingsObject(std::string_view text, std::string_view file) -> Result<boost::json::object>
{
    const auto value = parseCommentedJson(text);
    if (!value)
        return failure(Error::Code::Malformed, std::string(file), "is not JSON: " + value.error().text());
    if (!value.value().is_object())
        return failure(Error::Code::Invalid, std::string(file), "must contain one JSON object");
    return value.value().get_object();
}

SettingsReader::SettingsReader(
    const boost::json::object& object, std::string path, std::optional<Error>& error)
    : object_(object)
    , path_(std::move(path))
    , error_(error)
{
}

auto SettingsReader::object(std::string_view name) -> SettingsReader
{
    const auto* const found = value(name);
    if (found == nullptr)
        refuse(name, "is missing; allowed is an object");
    else if (!found->is_object())
        refuse(name, "must be an object");
    const auto isObject = found != nullptr && found->is_object();
    return { isObject ? found->get_object() : emptyObject(), pathOf(name), error_ };
}

auto SettingsReader::optionalObject(std::string_view name) -> SettingsReader
{
    if (object_.contains(name))
        return object(name);
    knownFields_.emplace_back(name);
    return { emptyObject(), pathOf(name), error_ };
}

auto SettingsReader::text(std::string_view name) -> std::string
{
    const auto* const found = value(name);
    if (found == nullptr || !found->is_string() || found->get_string().empty()) {
        refuse(name,
            found == nullptr ? "is missing; allowed is a non-empty string" : "must be a non-empty string");
        return {};
    }
    return std::string(found->get_string());
}

auto SettingsReader::optionalText(std::string_view name) -> std::string
{
    if (object_.contains(name))
        return text(name);
    knownFields_.emplace_back(name);
    return {};
}

auto SettingsReader::endpoint(std::string_view name) -> Endpoint
{
    const auto given = text(name);
    if (given.empty())
        return {};
    auto parsed = Endpoint::parse(given, {});
    if (parsed.has_value())
        return parsed.value();
    refuse(name, parsed.error().message);
    return {};
}

auto SettingsReader::endpoints(std::string_view name) -> std::vector<Endpoint>
{
    auto list = std::vector<Endpoint> {};
    const auto* const found = value(name);
    if (found == nullptr || !found->is_array()) {
        refuse(name, "must be a list of endpoints");
        return list;
    }
    for (const auto& element : found->get_array()) {
        const auto given = element.is_string() ? std::string_view(element.get_string()) : std::string_view {};
        auto parsed = Endpoint::parse(given, {});
        if (parsed.has_value())
            list.push_back(std::move(parsed.value()));
        else
            refuse(name, parsed.error().message);
    }
    return list;
}

auto SettingsReader::number(std::string_view name, std::uint64_t fallback, std::uint64_t minimum,
    std::uint64_t maximum) -> std::uint64_t
{
    const auto* const found = value(name);
    if (found == nullptr)
        return fallback;
    const auto isCount = found->is_uint64() || (found->is_int64() && found->get_int64() >= 0);
    const auto count = isCount ? found->to_number<std::uint64_t>() : 0;
    if (isCount && count >= minimum && count <= maximum)
        return count;
    refuse(name, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

auto SettingsReader::milliseconds(std::string_view name, std::chrono::milliseconds fallback,
    std::uint64_t minimum, std::uint64_t maximum) -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(
        number(name, static_cast<std::uint64_t>(fallback.count()), minimum, maximum));
}

auto SettingsReader::flag(std::string_view name) -> bool
{
    const auto* const found = value(name);
    if (found != nullptr && found->is_bool())
        return found->get_bool();
    refuse(name, found == nullptr ? "is missing; allowed are true and false" : "must be true or false");
    return false;
}

auto SettingsReader::real(std::string_view name, double fallback, double minimum, double maximum) -> double
{
    const auto* const found = value(name);
    if (found == nullptr)
        return fallback;
    const auto given = found->is_number() ? found->to_number<double>() : std::nan("");
    if (given >= minimum && given <= maximum)
        return given;
    auto message = std::ostringstream {};
    message << "must be a number from " << minimum << " to " << maximum;
    refuse(name, message.str());
    return fallback;
}

auto SettingsReader::objects(std::string_view name) -> std::vector<SettingsReader>
{
    auto readers = std::vector<SettingsReader> {};
    const auto* const found = value(name);
    if (found == nullptr)
        return readers;
    if (!found->is_array()) {
        refuse(name, "must be a list");
        return readers;
    }
    for (const auto& element : found->get_array()) {
        const auto path = pathOf(name) + "[" + std::to_string(readers.size()) + "]";
        if (!element.is_object())
            refuse(name, "must contain only objects");
        else
            readers.emplace_back(element.get_object(), path, error_);
    }
    return readers;
}

auto SettingsReader::refuse(std::string_view name, std::string message) -> void
{
    if (!error_)
        error_ = failure(Error::Code::Invalid, pathOf(name), std::move(message));
}

auto SettingsReader::finish() -> void
{
    for (const auto& member : object_) {
        if (std::ranges::find(knownFields_, member.key()) == knownFields_.end())
            refuse(member.key(), "is an unknown field; allowed are " + joined(knownFields_));
    }
}

auto SettingsReader::value(std::string_view name) -> const boost::json::value*
{
    knownFields_.emplace_back(name);
    return object_.if_contains(name);
}

auto SettingsReader::pathOf(std::string_view name) const -> std::string
{
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

} // namespace camphorshunt
