#include "tracejson.h"

#include <concepts>
#include <cstdint>
#include <iterator>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <boost/describe/enum_from_string.hpp>
#include <boost/describe/enum_to_string.hpp>
#include <boost/describe/members.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/mp11/algorithm.hpp>
#include <boost/pfr.hpp>

#include "tracedescribe.h"

namespace camphorshunt {

namespace json = boost::json;

namespace {

template <typename T> constexpr auto isId = false;
template <typename Tag> constexpr auto isId<Id<Tag>> = true;
template <typename T> constexpr auto isVector = false;
template <typename T> constexpr auto isVector<std::vector<T>> = true;
template <typename T> constexpr auto isVariant = false;
template <typename... T> constexpr auto isVariant<std::variant<T...>> = true;

template <typename T> using Members = boost::describe::describe_members<T, boost::describe::mod_public>;

template <typename T> auto toJson(const T& value) -> json::value;

template <typename T> auto variantToJson(const T& value) -> json::value
{
    auto content = std::visit([](const auto& alternative) { return toJson(alternative); }, value);
    auto object = json::object {};
    object.emplace(AlternativeNames<T>::names[value.index()], std::move(content));
    return object;
}

template <typename T> auto structToJson(const T& value) -> json::value
{
    // A member missing from tracedescribe.h would be missing from the trace, and the replay would differ.
    static_assert(boost::pfr::tuple_size_v<T> == boost::mp11::mp_size<Members<T>>::value);
    auto object = json::object {};
    boost::mp11::mp_for_each<Members<T>>(
        [&](auto member) { object.emplace(member.name, toJson(value.*member.pointer)); });
    return object;
}

template <typename T> auto toJson(const T& value) -> json::value
{
    if constexpr (std::is_enum_v<T>) {
        return boost::describe::enum_to_string(value, "");
    } else if constexpr (isId<T>) {
        return value.value;
    } else if constexpr (std::same_as<T, Duration>) {
        return value.count();
    } else if constexpr (isVariant<T>) {
        return variantToJson(value);
    } else if constexpr (isVector<T>) {
        auto array = json::array {};
        for (const auto& item : value)
            array.push_back(toJson(item));
        return array;
    } else if constexpr (std::is_arithmetic_v<T>) {
        return value;
    } else if constexpr (std::same_as<T, std::string>) {
        return json::string(value);
    } else {
        return structToJson(value);
    }
}

/** False if the JSON value does not fit the type; `result` may then be partly set. */
template <typename T> auto fromJson(const json::value& value, T& result) -> bool;

template <typename T> auto numberFromJson(const json::value& value, T& result) -> bool
{
    auto code = boost::system::error_code {};
    const auto number = value.to_number<T>(code);
    if (code)
        return false;
    result = number;
    return true;
}

template <typename T> auto variantFromJson(const json::value& value, T& result) -> bool
{
    const auto* const object = value.if_object();
    if (object == nullptr || object->size() != 1)
        return false;
    const auto& member = *object->begin();
    auto found = false;
    boost::mp11::mp_for_each<boost::mp11::mp_iota_c<std::variant_size_v<T>>>([&](auto index) {
        if (member.key() != AlternativeNames<T>::names[index])
            return;
        auto alternative = std::variant_alternative_t<index, T> {};
        found = fromJson(member.value(), alternative);
        result = std::move(alternative);
    });
    return found;
}

template <typename T> auto vectorFromJson(const json::value& value, T& result) -> bool
{
    const auto* const array = value.if_array();
    if (array == nullptr)
        return false;
    for (const auto& item : *array) {
        auto element = typename T::value_type {};
        if (!fromJson(item, element))
            return false;
        result.push_back(std::move(element));
    }
    return true;
}

template <typename T> auto structFromJson(const json::value& value, T& result) -> bool
{
    const auto* const object = value.if_object();
    if (object == nullptr || object->size() != boost::mp11::mp_size<Members<T>>::value)
        return false;
    auto fits = true;
    boost::mp11::mp_for_each<Members<T>>([&](auto member) {
        const auto* const field = object->if_contains(member.name);
        fits = fits && field != nullptr && fromJson(*field, result.*member.pointer);
    });
    return fits;
}

template <typename T> auto fromJson(const json::value& value, T& result) -> bool
{
    if constexpr (std::is_enum_v<T>) {
        return value.is_string() && boost::describe::enum_from_string(value.get_string().c_str(), result);
    } else if constexpr (isId<T>) {
        return numberFromJson(value, result.value);
    } else if constexpr (std::same_as<T, Duration>) {
        auto count = Duration::rep {};
        const auto fits = numberFromJson(value, count);
        result = Duration(count);
        return fits;
    } else if constexpr (isVariant<T>) {
        return variantFromJson(value, result);
    } else if constexpr (isVector<T>) {
        return vectorFromJson(value, result);
    } else if constexpr (std::same_as<T, bool>) {
        result = value.is_bool() && value.get_bool();
        return value.is_bool();
    } else if constexpr (std::is_arithmetic_v<T>) {
        return numberFromJson(value, result);
    } else if constexpr (std::same_as<T, std::string>) {
        if (!value.is_string())
            return false;
        result = value.get_string();
        return true;
    } else {
        return structFromJson(value, result);
    }
}

template <typename Variant>
constexpr auto namesEveryAlternative
    = std::size(AlternativeNames<Variant>::names) == std::variant_size_v<Variant>;

static_assert(
    namesEveryAlternative<Event> && namesEveryAlternative<Action> && namesEveryAlternative<PeerMessage>);

auto parseObject(std::string_view line) -> std::optional<json::object>
{
    auto code = boost::system::error_code {};
    auto value = json::parse(line, code);
    if (code || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

template <typename T> auto readMember(const json::object& object, std::string_view name, T& result) -> bool
{
    const auto* const value = object.if_contains(name);
    return value != nullptr && fromJson(*value, result);
}

} // namespace

auto traceHeader(const CoreSettings& settings) -> std::string
{
    return json::serialize(json::object { { "settings", toJson(settings) } });
}

auto parseTraceHeader(std::string_view line) -> Result<CoreSettings>
{
    const auto object = parseObject(line);
    auto settings = CoreSettings {};
    if (!object || !readMember(*object, "settings", settings))
        return failure(Error::Code::Malformed, "settings", "the first line is not a trace header");
    return settings;
}

auto traceLine(Time time, const Event& event, const Actions& actions) -> std::string
{
    return json::serialize(json::object { { "time", time.time_since_epoch().count() },
        { "event", toJson(event) }, { "actions", toJson(actions) } });
}

auto parseTraceLine(std::string_view line) -> Result<TraceStep>
{
    const auto object = parseObject(line);
    if (!object)
        return failure(Error::Code::Malformed, {}, "the line is not a JSON object");
    auto step = TraceStep {};
    auto time = Duration {};
    if (!readMember(*object, "time", time))
        return failure(Error::Code::Malformed, "time", "must be a number of microseconds");
    if (!readMember(*object, "event", step.event))
        return failure(Error::Code::Malformed, "event", "is not a valid event of the core");
    if (!readMember(*object, "actions", step.actions))
        return failure(Error::Code::Malformed, "actions", "is not a list of valid actions of the core");
    step.time = Time(time);
    return step;
}

} // namespace camphorshunt
