#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

namespace camphorshunt::standins {

inline auto parseObject(std::string_view text) -> std::optional<boost::json::object>
{
    auto error = boost::json::error_code {};
    auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), error);
    return !error && value.is_object() ? std::optional(std::move(value.as_object())) : std::nullopt;
}

/** Returns the fallback if the field is missing or of another type. */
template <typename T> auto field(const boost::json::object& object, std::string_view name, T fallback) -> T
{
    const auto* const found = object.if_contains({ name.data(), name.size() });
    if (!found)
        return fallback;
    const auto value = boost::json::try_value_to<T>(*found);
    return value ? *value : fallback;
}

/** Parses the number at the start of the text; returns the fallback if there is none. */
inline auto numberIn(std::string_view text, std::uint64_t fallback) -> std::uint64_t
{
    auto number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace camphorshunt::standins
