#include "logfields.h"

#include <array>
#include <charconv>

namespace camphorshunt {

namespace json = boost::json;

namespace {

constexpr std::size_t hexDigits = 16;

} // namespace

auto hexText(std::uint64_t value) -> std::string
{
    auto digits = std::array<char, hexDigits>();
    const auto [end, code] = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
    const auto length = static_cast<std::size_t>(end - digits.data());
    return std::string(hexDigits - length, '0') + std::string(digits.data(), length);
}

auto parseHex(std::string_view text) -> std::optional<std::uint64_t>
{
    auto value = std::uint64_t {};
    const auto* const last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, value, 16);
    if (text.size() != hexDigits || code != std::errc {} || end != last)
        return std::nullopt;
    return value;
}

LogFields::LogFields(const json::value& value)
    : object_(value.if_object())
{
    if (object_ == nullptr)
        fail("record", "must be an object");
}

auto LogFields::find(std::string_view field, json::kind kind) -> const json::value*
{
    const auto* const value = object_ == nullptr ? nullptr : object_->if_contains(field);
    if (value != nullptr && value->kind() == kind)
        return value;
    fail(field, "is missing or of another type");
    return nullptr;
}

auto LogFields::text(std::string_view field) -> std::string
{
    const auto* const value = find(field, json::kind::string);
    return value == nullptr ? std::string() : std::string(value->get_string());
}

auto LogFields::number(std::string_view field) -> std::uint64_t
{
    const auto* const value = find(field, json::kind::int64);
    if (value != nullptr && value->get_int64() >= 0)
        return static_cast<std::uint64_t>(value->get_int64());
    fail(field, "must be a whole number from 0");
    return 0;
}

auto LogFields::hex(std::string_view field) -> std::uint64_t
{
    const auto value = parseHex(text(field));
    if (!value)
        fail(field, "must be 16 hex digits");
    return value.value_or(0);
}

auto LogFields::flag(std::string_view field) -> bool
{
    const auto* const value = find(field, json::kind::bool_);
    return value != nullptr && value->get_bool();
}

auto LogFields::forEach(std::string_view field, const std::function<void(LogFields&)>& visit) -> void
{
    const auto* const value = find(field, json::kind::array);
    if (value == nullptr)
        return;
    for (const auto& item : value->get_array()) {
        auto fields = LogFields(item);
        visit(fields);
        if (fields.error())
            fail(field, fields.error()->text());
    }
}

auto LogFields::forEachText(std::string_view field, const std::function<void(std::string_view)>& visit)
    -> void
{
    const auto* const value = find(field, json::kind::array);
    if (value == nullptr)
        return;
    for (const auto& item : value->get_array()) {
        if (item.is_string())
            visit(item.get_string());
        else
            fail(field, "must hold texts");
    }
}

auto LogFields::fail(std::string_view field, std::string message) -> void
{
    if (!error_)
        error_ = failure(Error::Code::Malformed, std::string(field), std::move(message));
}

} // namespace camphorshunt
